"""Requests that two servers could parse differently are rejected."""

import json

import pytest
import werkzeug

from anvilwell_kernel import web

HOST = b"Host: x\r\n"
AMBIGUOUS = {
    "length and chunks": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /echo"
    ),
    "chunks and length": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n"
        b"Content-Length: 5\r\n\r\n0\r\n\r\n"
    ),
    "two lengths": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\nhello!"
    ),
    "negative length": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Content-Length: -5\r\n\r\n"
    ),
    "odd length": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Content-Length: 1_0\r\n\r\n"
    ),
    "space before colon": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Content-Length : 5\r\n\r\nhello"
    ),
    "folded line": b"GET /echo HTTP/1.1\r\n" + HOST + b"X: a\r\n b\r\n\r\n",
    "bare return": b"GET /echo HTTP/1.1\r\n" + HOST + b"X: a\rY: b\r\n\r\n",
    "bare newline": b"GET /echo HTTP/1.1\r\n" + HOST + b"X: a\nY: b\r\n\r\n",
    "null": b"GET /echo HTTP/1.1\r\n" + HOST + b"X: a\0b\r\n\r\n",
    "two keys": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Idempotency-Key: a\r\n"
        b"Idempotency-Key: b\r\n\r\n"
    ),
    "unknown encoding": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: x\r\n\r\n"
    ),
    "chunked twice": (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "chunks in HTTP/1.0": (
        b"POST /echo HTTP/1.0\r\n" + HOST + b"Connection: Keep-Alive\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "no protocol": b"GET /echo\r\n\r\n",
    "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}


@pytest.fixture
def received_bodies():
    return []


@pytest.fixture
def server(serve, received_bodies):
    def echo(request):
        received_bodies.append(request.get_data())
        return werkzeug.Response(received_bodies[-1])

    started = serve(read_limit_s=20.0)
    started.route("/echo", echo, None)
    return started


def body_of(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    return head, json.loads(body)["error"]


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_ambiguous_request_is_refused(name, server, connect, received_bodies):
    answer = connect(server).send(AMBIGUOUS[name]).read_all()

    head, error = body_of(answer)
    assert head.startswith(b"HTTP/1.1 400 ")
    assert b"Anvilwell-Verdict: not-run" in head
    assert b"Anvilwell-Request-Id: " in head
    assert error["verdict"] == "not-run"
    assert error["reason"] == "bad-request"
    assert received_bodies == []


def test_data_after_chunks_is_not_parsed_as_a_request(
    server, connect, received_bodies
):
    smuggled = b"GET /echo HTTP/1.1\r\n" + HOST + b"\r\n"
    request = (
        b"POST /echo HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n"
        b"\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n" + smuggled
    )

    answer = connect(server).send(request).read_all()

    assert answer.count(b"HTTP/1.1 200") == 1
    assert received_bodies == [b"hello"]


@pytest.mark.parametrize(
    "body", [b"zz\r\nhello\r\n0\r\n\r\n", b"5\r\nhelloXX0\r\n\r\n"]
)
def test_malformed_chunks_are_refused(body, server, connect):
    request = (
        b"POST /echo HTTP/1.1\r\n"
        + HOST
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + body
    )

    head, error = body_of(connect(server).send(request).read_all())

    assert head.startswith(b"HTTP/1.1 400 ")
    assert error["verdict"] == "not-run"


def test_oversized_header_is_refused(server, connect, received_bodies):
    line = b"X: " + b"x" * (2 * web.MAX_HEADER_BYTES) + b"\r\n"

    answer = connect(server).send(b"GET /echo HTTP/1.1\r\n" + line).read_all()

    assert answer == b"" or b" 413 " in answer
    assert received_bodies == []


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 2000000\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n1e8480\r\n",
    ],
)
def test_oversized_body_is_refused(framing, server, connect, received_bodies):
    request = b"POST /echo HTTP/1.1\r\n" + HOST + framing

    head, error = body_of(connect(server).send(request).read_all())

    assert head.startswith(b"HTTP/1.1 413 ")
    assert error["reason"] == "body-too-large"
    assert error["verdict"] == "not-run"
    assert received_bodies == []


@pytest.mark.parametrize(
    "part",
    [
        b"GET /echo HTT",
        b"GET /echo HTTP/1.1\r\nHost",
        b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhell",
    ],
)
def test_slow_client_times_out(part, serve, connect, received_bodies):
    def echo(request):
        received_bodies.append(request.get_data())
        return werkzeug.Response(b"")

    slow = serve(read_limit_s=0.2)
    slow.route("/echo", echo, None)

    head, error = body_of(connect(slow).send(part).read_all())

    assert head.startswith((b"HTTP/1.1 408 ", b"HTTP/1.1 400 "))
    assert error["verdict"] == "not-run"
    assert received_bodies == []


def test_header_names_with_underscores_are_dropped(serve, connect):
    def key(request):
        return werkzeug.Response(str(request.headers.get("Idempotency-Key")))

    server = serve()
    server.route("/key", key)
    request = b"GET /key HTTP/1.1\r\nConnection: close\r\n" + HOST
    line = b"Idempotency_Key: forged\r\n\r\n"

    answer = connect(server).send(request + line).read_all()

    assert answer.endswith(b"\r\n\r\nNone")
