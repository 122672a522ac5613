"""Tests which response on a connection is taken for that to a request."""

import asyncio
import contextlib

from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
import pytest

from anvilwell_gateway import dialect as dialects
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import connection_records
from anvilwell_gateway.http import messages
from anvilwell_gateway import responses

REFUSED = "503"
DONE = "200"


class _Dialect:
    """Reads the id and the mark of requests that did not run."""

    def read_response_head(self, reply):
        return dialects.ResponseHead(
            messages.find(reply.headers, "id"),
            "",
            bool(messages.find(reply.headers, "not-run")),
        )


def _response(status, request_id, body="", more=""):
    mark = "Not-Run: 1\r\n" if status == REFUSED else ""
    own = f"Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 {status} x\r\n{own}{mark}{more}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


@contextlib.asynccontextmanager
async def _replica(*responses_by_turn):
    """Serve raw bytes: the first item answers the first request, and so on."""

    async def serve(reader, writer):
        for data in responses_by_turn:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield options.Address("127.0.0.1", server.sockets[0].getsockname()[1])


async def _request(pool, address, request_id):
    """Send one request; return its status, verdict and body."""
    use = connection_records.Use("r", reasons.Work.LIVE_CALL, request_id)
    connection = await pool.acquire("r", address, use=use)
    connection.send("GET", "/", (("Host", "x"),))
    head = await responses.read_head(connection, _Dialect(), request_id)
    body = await connection.read_body(100)
    pool.release("r", connection, head.reply)
    return head.reply.status, head.outcome.not_run, body


def _play(*responses_by_turn, request_ids):
    """Send requests one after another; return the last one's result."""

    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        async with _replica(*responses_by_turn) as address:
            try:
                for request_id in request_ids:
                    result = await asyncio.wait_for(
                        _request(pool, address, request_id), 2.0
                    )
                return result, pool.idle_count("r")
            finally:
                pool.close()

    return asyncio.run(scenario())


def test_a_late_second_refusal_of_an_item_does_not_refuse_a_call():
    """Guard against calls that run twice after the refusal of an item."""
    result, idle_count = _play(
        _response(REFUSED, "item"),
        _response(REFUSED, "item") + _response(DONE, "call", "whole"),
        request_ids=("item", "call"),
    )

    assert result == (200, False, b"whole")
    assert idle_count == 0


@pytest.mark.parametrize("request_ids", [("item", "call"), ("call",)])
def test_a_connection_that_ends_with_another_response_proves_nothing(
    request_ids,
):
    """Guard against a promise that a call did not run, without evidence."""
    foreign = _response(REFUSED, "item", more="Connection: close\r\n")
    first = (_response(REFUSED, "item"),) * (len(request_ids) - 1)

    with pytest.raises(exceptions.BackendFailed) as caught:
        _play(*first, foreign, request_ids=request_ids)

    assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_responses_to_other_requests_are_not_skipped_without_end():
    """Guard against a replica that holds a call by sending on and on."""
    foreign = _response(DONE, "item", "x") * 50

    with pytest.raises(exceptions.BackendFailed) as caught:
        _play(foreign, request_ids=("call",))

    assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_a_refusal_without_an_id_counts_on_a_new_connection_alone():
    """Guard against a second response whose request can't be told."""
    anonymous = _response(REFUSED, "")

    result, _ = _play(anonymous, request_ids=("call",))
    assert result == (503, True, b"")
    with pytest.raises(exceptions.BackendFailed) as caught:
        _play(
            _response(REFUSED, "item"),
            anonymous + _response(DONE, "call"),
            request_ids=("item", "call"),
        )
    assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_a_call_is_not_repeated_on_the_connection_of_its_last_attempt():
    """Guard against a second response that bears the id of the repetition.

    A second 500 would count as one more failure of a scoring call.
    """

    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        refusal, other = _response(REFUSED, "item"), _response(DONE, "other")
        async with _replica(refusal, other) as address:
            await _request(pool, address, "item")
            scoring_call = connection_records.Use(
                "r", reasons.Work.SCORING_CALL, "item"
            )
            repeated = await pool.acquire("r", address, use=scoring_call)
            repeated.send("GET", "/", (("Host", "x"),))
            assert not repeated.is_reused
            repeated.close()
            status, *_ = await _request(pool, address, "other")
            assert status == 200
        pool.close()

    asyncio.run(scenario())


def test_a_refused_item_uses_another_idle_connection_if_there_is_one():
    """Guard against a second refusal, and against needless connections."""
    item = connection_records.Use("r", reasons.Work.ITEM, "item")
    call = connection_records.Use("r", reasons.Work.LIVE_CALL, "call")

    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        async with _replica(_response(DONE, "any")) as address:
            used = [
                await pool.acquire("r", address, use=use)
                for use in (call, item)
            ]
            for connection in used:
                connection.send("GET", "/", (("Host", "x"),))
                reply = await connection.read_head()
                await connection.read_body(100)
                pool.release("r", connection, reply)
            repeated = [
                await pool.acquire("r", address, use=item) for _ in used
            ]
            for connection in repeated:
                connection.close()
        assert repeated == used

    asyncio.run(scenario())
