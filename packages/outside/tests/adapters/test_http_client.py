"""Tests of the HTTP client against servers that send invalid responses."""

import contextlib
import socket
import threading
import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import responses
import pytest

WAIT_S = 20.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class RawServer:
    """Server that sends raw bytes.

    Each connection takes the next script, a sequence of responses, and is
    closed after the last one. None means that the server never responds.
    """

    def __init__(self, *scripts):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._held = []
        self.calls = 0
        self._start(self._accept, scripts)

    def _start(self, target, argument):
        threading.Thread(target=target, args=(argument,), daemon=True).start()

    @property
    def address(self):
        return "{}:{}".format(*self._listener.getsockname())

    def connections(self):
        return len(self._held)

    def close(self):
        for held in self._held:
            held.close()
        self._listener.close()

    def _accept(self, scripts):
        with contextlib.suppress(OSError):
            for script in scripts:
                connection, _ = self._listener.accept()
                self._held.append(connection)
                self._start(self._respond, (connection, script))

    def _respond(self, work):
        connection, script = work
        with contextlib.suppress(OSError):
            for response in script:
                if not connection.recv(1 << 16):
                    break
                self.calls += 1
                if response is None:
                    return
                connection.sendall(response)
            connection.shutdown(socket.SHUT_RDWR)


@contextlib.contextmanager
def client_of(*scripts):
    server = RawServer(*scripts)
    client = http_client.HttpClient(server.address)
    yield client, server
    client.close()
    server.close()


def failure_of(*script, timeout_s=WAIT_S):
    with client_of(script) as (client, _):
        with pytest.raises(exceptions.AnvilwellError) as caught:
            client.call("POST", "/", body=b"x", timeout_s=timeout_s)
        return caught.value


def test_complete_response_is_returned():
    with client_of([WHOLE]) as (client, _):
        response = client.call("GET", "/", timeout_s=WAIT_S)
    assert response.status == 200
    assert response.body == b"ok"


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"not HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        HEAD + b"Content-Length: 0",
        HEAD + b"Content-Length: 0\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        HEAD + b"Content-Length: 9\r\n\r\nhalf",
        CHUNKED + b"4\r\nhalf\r\n",
        CHUNKED + b"zz\r\nhalf\r\n",
        CHUNKED + b"9\r\nhalf",
        HEAD + b"\r\nends with the connection",
    ],
)
def test_call_with_broken_response_may_have_run(response):
    error = failure_of(response)
    assert isinstance(error, exceptions.BackendFailed)
    assert error.verdict == MAY_HAVE_RUN


def test_delimited_body_needs_no_length():
    with client_of([HEAD + b"\r\nok"]) as (client, _):
        response = client.open("GET", "/", timeout_s=WAIT_S)
        deadline = time.monotonic() + WAIT_S
        chunks = client.chunks(response, deadline, 9, is_delimited=True)
        assert b"".join(chunks) == b"ok"


def test_silent_server_times_out():
    error = failure_of(None, timeout_s=0.1)
    assert isinstance(error, exceptions.Timeout)
    assert error.verdict == MAY_HAVE_RUN


def test_response_that_is_too_large_is_an_error(monkeypatch):
    monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 1)
    assert failure_of(WHOLE).reason == "body-too-large"


def test_call_on_a_closed_kept_alive_connection_is_not_retried():
    with client_of([WHOLE, b""], [WHOLE]) as (client, server):
        client.call("GET", "/", timeout_s=WAIT_S)
        with pytest.raises(exceptions.BackendFailed) as caught:
            client.call("POST", "/", body=b"x", timeout_s=WAIT_S)
        assert caught.value.verdict == MAY_HAVE_RUN
        assert server.calls == 2


def test_call_on_a_new_connection_leaves_idle_ones_alone():
    with client_of([WHOLE, WHOLE], [WHOLE, WHOLE]) as (client, server):
        client.call("GET", "/", timeout_s=WAIT_S)
        response = client.open(
            "POST", "/", timeout_s=WAIT_S, use_new_connection=True
        )
        assert response.read() == b"ok"
        assert server.connections() == 2


def test_redirect_is_not_followed():
    moved = b"HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n"
    with client_of([moved, WHOLE]) as (client, server):
        assert client.call("GET", "/a", timeout_s=WAIT_S).status == 302
        assert server.calls == 1


@pytest.mark.parametrize(
    ("status", "kind", "expected"),
    [
        (429, exceptions.Refused, verdict.Verdict.NOT_RUN),
        (400, exceptions.BadRequest, verdict.Verdict.NOT_RUN),
        (404, exceptions.NotFound, verdict.Verdict.NOT_RUN),
        (409, exceptions.Conflict, verdict.Verdict.NOT_RUN),
        (500, exceptions.BackendFailed, MAY_HAVE_RUN),
        (503, exceptions.BackendFailed, MAY_HAVE_RUN),
        (302, exceptions.BackendFailed, MAY_HAVE_RUN),
    ],
)
def test_error_status_maps_to_exception_and_verdict(status, kind, expected):
    headers = responses.Headers({"Retry-After": "3"})
    response = responses.HttpResponse(status, headers, b"why")
    with pytest.raises(kind, match="why") as caught:
        responses.check_status(response, "engine")
    assert caught.value.verdict == expected


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("3", 3.0), ("", None), ("-1", None), ("nan", None), ("Wed, 21", None)],
)
def test_retry_after_accepts_only_whole_seconds(text, seconds):
    headers = responses.Headers({"Retry-After": text})
    assert responses.retry_after_s(headers) == seconds
