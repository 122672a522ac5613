"""The verdict for each event that can end an attempt.

This table is the only place where verdicts are decided; the data path looks
up the verdict of each event here.
"""

import enum
import typing

from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts


class Hop(enum.StrEnum):
    """The part of the request's path on which the event occurred."""

    ENTRY = "entry"
    ENTRY_TO_AGENT = "entry-to-agent"
    AGENT = "agent"
    AGENT_TO_BACKEND = "agent-to-backend"


class Event(enum.StrEnum):
    """What ended an attempt."""

    REFUSED_BY_ENTRY = "refused-by-entry"
    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMED_OUT = "connect-timed-out"
    LOST_BEFORE_SENT = "lost-before-sent"
    LOST_PARTLY_SENT = "lost-partly-sent"
    LOST_AFTER_SENT = "lost-after-sent"
    REFUSED_BY_AGENT = "refused-by-agent"
    CANCELLED_IN_QUEUE = "cancelled-in-queue"
    TIMED_OUT_IN_QUEUE = "timed-out-in-queue"
    IDLE_CONNECTION_CLOSED = "idle-connection-closed"
    TIMED_OUT_AFTER_SENT = "timed-out-after-sent"
    SERVER_ERROR = "server-error"
    LOST_AFTER_HEADERS = "lost-after-headers"
    LOST_IN_STREAM = "lost-in-stream"
    WHOLE_ANSWER = "whole-answer"


class VerdictRow(typing.NamedTuple):
    """The verdict and reason for an event at a hop, and why they apply."""

    hop: Hop
    event: Event
    verdict: verdicts.Verdict
    reason: reasons.Refusal | None
    why: str


_NOT_RUN = verdicts.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
_RAN = verdicts.Verdict.RAN

TABLE = (
    VerdictRow(
        Hop.ENTRY,
        Event.REFUSED_BY_ENTRY,
        _NOT_RUN,
        reasons.Refusal.OVERLOADED,
        "the entry sent nothing",
    ),
    VerdictRow(
        Hop.ENTRY_TO_AGENT,
        Event.CONNECT_REFUSED,
        _NOT_RUN,
        reasons.Refusal.CONNECT_FAILED,
        "no link, so no frame left the entry",
    ),
    VerdictRow(
        Hop.ENTRY_TO_AGENT,
        Event.CONNECT_TIMED_OUT,
        _NOT_RUN,
        reasons.Refusal.CONNECT_FAILED,
        "the handshake did not complete, so no frame left the entry",
    ),
    VerdictRow(
        Hop.ENTRY_TO_AGENT,
        Event.LOST_BEFORE_SENT,
        _NOT_RUN,
        reasons.Refusal.LINK_LOST,
        "the start frame was never handed to the link",
    ),
    VerdictRow(
        Hop.ENTRY_TO_AGENT,
        Event.LOST_PARTLY_SENT,
        _MAY_HAVE_RUN,
        reasons.Refusal.LINK_LOST,
        "the kernel may still deliver all bytes that it accepted",
    ),
    VerdictRow(
        Hop.ENTRY_TO_AGENT,
        Event.LOST_AFTER_SENT,
        _MAY_HAVE_RUN,
        reasons.Refusal.LINK_LOST,
        "the agent may have forwarded it; the response is lost",
    ),
    VerdictRow(
        Hop.AGENT,
        Event.REFUSED_BY_AGENT,
        _NOT_RUN,
        reasons.Refusal.OVERLOADED,
        "the agent dropped it before it opened a connection",
    ),
    VerdictRow(
        Hop.AGENT,
        Event.CANCELLED_IN_QUEUE,
        _NOT_RUN,
        reasons.Refusal.CANCELLED,
        "the agent confirms that it removed it from its queue",
    ),
    VerdictRow(
        Hop.AGENT,
        Event.TIMED_OUT_IN_QUEUE,
        _NOT_RUN,
        reasons.Refusal.DEADLINE,
        "the agent removed it from its queue at the deadline",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.CONNECT_REFUSED,
        _NOT_RUN,
        reasons.Refusal.CONNECT_FAILED,
        "no connection, so no byte left the agent",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.CONNECT_TIMED_OUT,
        _NOT_RUN,
        reasons.Refusal.CONNECT_FAILED,
        "no connection, so no byte left the agent",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.IDLE_CONNECTION_CLOSED,
        _MAY_HAVE_RUN,
        reasons.Refusal.BACKEND_FAILED,
        "a pooled connection closed while it was written to: the server may"
        " have read the request before it closed",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.LOST_PARTLY_SENT,
        _MAY_HAVE_RUN,
        reasons.Refusal.BACKEND_FAILED,
        "a server may act before it has read the whole body",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.LOST_AFTER_SENT,
        _MAY_HAVE_RUN,
        reasons.Refusal.BACKEND_FAILED,
        "the server has the whole request",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.TIMED_OUT_AFTER_SENT,
        _MAY_HAVE_RUN,
        reasons.Refusal.DEADLINE,
        "the server may still be working; a late response is dropped",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.SERVER_ERROR,
        _MAY_HAVE_RUN,
        reasons.Refusal.BACKEND_FAILED,
        "a status of 500 or more may be sent after a change was made",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.LOST_AFTER_HEADERS,
        _MAY_HAVE_RUN,
        reasons.Refusal.ANSWER_CUT,
        "the server began to respond but did not finish",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.LOST_IN_STREAM,
        _MAY_HAVE_RUN,
        reasons.Refusal.ANSWER_CUT,
        "the caller has a part; the stream ends with an error event",
    ),
    VerdictRow(
        Hop.AGENT_TO_BACKEND,
        Event.WHOLE_ANSWER,
        _RAN,
        None,
        "the server sent its complete response",
    ),
)

_ROWS_BY_CAUSE = {(row.hop, row.event): row for row in TABLE}


def look_up(hop, event):
    """Return the `VerdictRow` of an event at a hop.

    For an event that is not in the table, the verdict is that the request may
    have run, which is the safe assumption.
    """
    unlisted = VerdictRow(
        hop, event, _MAY_HAVE_RUN, reasons.Refusal.INTERNAL, "not in the table"
    )
    return _ROWS_BY_CAUSE.get((hop, event), unlisted)
