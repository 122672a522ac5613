"""Matches the responses of a replica with the requests sent to it.

A faulty replica may send a second response to an earlier request, at the
point where the next response is expected. Such a response says nothing about
the latest request, not even that the replica refused it.
"""

import typing

from anvilwell_gateway import dialect as dialects
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# Limit on the responses to other requests that are skipped before the
# response to the latest one.
MAX_SKIPPED = 3
# Limit of the body of a skipped response, in bytes.
MAX_SKIPPED_BYTES = 1 << 20

_LOG = logs.get_logger(__name__)


class IdentifiedHead(typing.NamedTuple):
    """The head of the response to one request, and its parsed headers."""

    reply: messages.Reply
    outcome: dialects.ResponseHead


async def read_head(connection, dialect, request_id):
    """Return the `IdentifiedHead` of the response to the latest request.

    Responses to other requests are skipped. A response without an id is only
    taken for that to the first request on a connection, which no earlier
    response can precede.

    Parameters
    ----------
    connection : client.Connection
        The connection on which the request was sent.
    dialect : dialect.Dialect
        Parses the headers of the response.
    request_id : str
        The id of the request, "" if it has none.

    Raises
    ------
    exceptions.BackendFailed
        If there is no such response. Its verdict is ``MAY_HAVE_RUN``.
    """
    for _ in range(MAX_SKIPPED + 1):
        reply = await connection.read_head()
        outcome = dialect.read_response_head(reply)
        found_id = outcome.request_id
        if found_id == request_id:
            return IdentifiedHead(reply, outcome)
        if not found_id and not connection.is_reused:
            return IdentifiedHead(reply, outcome)
        counters.count_other_response()
        _LOG.log(
            "other-response",
            request_id=request_id,
            found_id=found_id,
            status=reply.status,
            not_run=outcome.not_run,
        )
        if not found_id:
            raise client.call_error("the response has no request id")
        await connection.skip_response(MAX_SKIPPED_BYTES)
    raise client.call_error("the responses are for other requests")
