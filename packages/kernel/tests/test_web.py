"""Tests of the HTTP server: verdicts, request ids and the drain."""

import asyncio
from concurrent import futures
import threading

import pydantic
import pytest
import urllib3
import werkzeug

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import web

TIMEOUT_S = 20.0


def fetch(server, path, method="GET", **options):
    host, port = server.address
    return urllib3.request(
        method,
        f"http://{host}:{port}{path}",
        retries=False,
        timeout=TIMEOUT_S,
        **options,
    )


def test_response_carries_a_request_id(serve):
    server = serve()
    server.route(
        "/id", lambda request: web.json_response(web.request_id(request))
    )

    answers = [
        fetch(server, "/id", headers={web.REQUEST_ID: "mine"})
        for _ in range(2)
    ]

    ids = [answer.headers[web.REQUEST_ID] for answer in answers]
    assert ids == [answer.json() for answer in answers]
    assert len({*ids, "mine"}) == 3


def test_error_response_has_the_verdict_and_reason(serve):
    def refuse(request):
        raise exceptions.LinkLost("link lost", retry_after=1.2)

    server = serve()
    server.route("/lost", refuse)

    answer = fetch(server, "/lost")

    assert answer.status == 502
    assert answer.headers[web.VERDICT] == "may-have-run"
    assert answer.headers[web.REASON] == "link-lost"
    assert answer.headers["Retry-After"] == "2"
    assert answer.json()["error"] == {
        "verdict": "may-have-run",
        "reason": "link-lost",
        "message": "link lost",
        "request_id": answer.headers[web.REQUEST_ID],
        "retry_after_s": 1.2,
    }


@pytest.mark.parametrize("kind", [RuntimeError, ConnectionResetError])
def test_unexpected_error_may_have_run_and_does_not_leak(kind, serve):
    def fail(request):
        raise kind("hunter2")

    server = serve()
    server.route("/fault", fail)

    answer = fetch(server, "/fault")

    assert answer.status == 500
    assert answer.headers[web.VERDICT] == "may-have-run"
    assert answer.headers[web.REASON] == "internal"
    assert b"hunter2" not in answer.data


def test_header_injection_by_a_handler_fails(serve):
    def inject(request):
        response = werkzeug.Response(b"")
        response.headers["X-Echo"] = request.args["value"]
        return response

    server = serve()
    server.route("/echo", inject)

    answer = fetch(server, "/echo?value=a%0d%0aX-Forged:%20yes")

    assert "X-Forged" not in answer.headers
    assert answer.headers[web.VERDICT]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/absent", 404), ("DELETE", "/known", 405)],
)
def test_request_with_unknown_path_or_method_was_not_run(
    serve, method, path, status
):
    server = serve()
    server.route("/known", lambda request: web.json_response({}))

    answer = fetch(server, path, method)

    assert answer.status == status
    assert answer.headers[web.VERDICT] == "not-run"


@pytest.mark.parametrize("body", [b"", b"{", b'{"a": "x"}', b"\xff", b"[]"])
def test_malformed_json_is_refused(serve, body):
    adapter = pydantic.TypeAdapter(dict[str, int])
    server = serve()
    server.route(
        "/json",
        lambda request: web.json_response(web.json_body(request, adapter)),
        ("POST",),
    )

    answer = fetch(server, "/json", "POST", body=body)

    assert answer.status == 400
    assert answer.headers[web.REASON] == "bad-request"


def test_drain_refuses_new_and_finishes_old_requests(serve):
    request_started = threading.Event()
    release = threading.Event()

    def slow(request):
        def chunks():
            yield b"first,"
            request_started.set()
            release.wait(TIMEOUT_S)
            yield b"last"

        return werkzeug.Response(chunks())

    server = serve()
    server.route("/slow", slow)
    server.route(
        "/alive", lambda request: web.json_response({}), while_draining=True
    )
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(fetch(server, "/slow"))
    )
    caller.start()
    assert request_started.wait(TIMEOUT_S)

    async def drain():
        drained = asyncio.create_task(server.drain())
        await asyncio.sleep(0)
        refused = await asyncio.to_thread(fetch, server, "/slow")
        alive = await asyncio.to_thread(fetch, server, "/alive")
        early = drained.done()
        release.set()
        await asyncio.wait_for(drained, TIMEOUT_S)
        return refused, alive, early

    refused, alive, early = asyncio.run(drain())
    caller.join(TIMEOUT_S)

    assert refused.headers[web.REASON] == reasons.Refusal.DRAINING
    assert refused.headers["Retry-After"] == "1"
    assert alive.status == 200
    assert not early
    assert answers[0].data == b"first,last"


def test_full_queue_refuses_at_once(serve):
    request_started = threading.Event()
    release = threading.Event()

    def slow(request):
        request_started.set()
        release.wait(TIMEOUT_S)
        return web.json_response({})

    server = serve(threads=1, queue=1)
    server.route("/slow", slow)
    with futures.ThreadPoolExecutor() as pool:
        running = pool.submit(fetch, server, "/slow")
        assert request_started.wait(TIMEOUT_S)
        waiting = [pool.submit(fetch, server, "/slow") for _ in range(2)]
        refused, queued = futures.wait(
            waiting, TIMEOUT_S, return_when=futures.FIRST_COMPLETED
        )
        release.set()

    (refusal,) = (one.result() for one in refused)
    assert refusal.status == 503
    assert refusal.headers[web.VERDICT] == "not-run"
    assert refusal.headers[web.REASON] == reasons.Refusal.OVERLOADED
    assert refusal.headers["Retry-After"] == "1"
    assert [one.result().status for one in (running, *queued)] == [200, 200]


def test_drain_of_an_idle_server_ends(serve):
    server = serve()

    asyncio.run(asyncio.wait_for(server.drain(), TIMEOUT_S))
