"""One request at an agent, from its arrival to its last message."""

from anvilwell_daemon.agent import outflow as outflows
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import facts
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import requests
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

_LOG = logs.get_logger(__name__)


class Execution:
    """Runs one attempt and sends its answer or one error.

    Parameters
    ----------
    ticket : admission.Ticket
        Its place in the queue.
    start : requests.RequestStart
        The request.
    session : session.Session
        The link that it came by.
    """

    def __init__(self, ticket, start, session):
        self.ticket = ticket
        self.start = start
        self.session = session
        self.outflow = outflows.Outflow(start)
        self.flusher = session.flusher(start.flush_s)
        self.timer = None
        self.is_running = False
        self.is_over = False
        self.admitted_at = None
        self.verdict = verdicts.Verdict.NOT_RUN

    def run(self, backend, timeout_s):
        """Run on the backend server; called on a worker thread.

        Returns
        -------
        exceptions.AnvilwellError or None
            What went wrong, if anything did.
        """
        with _LOG.resume(
            self.start.task_id,
            "run",
            request_id=self.start.request_id,
            attempt=self.start.attempt,
        ) as action:
            try:
                self._carry(backend.run(self.start, timeout_s))
            except exceptions.AnvilwellError as error:
                action.add_success_fields(
                    verdict=error.verdict, reason=error.reason
                )
                return error
            return None

    @property
    def tokens(self):
        """Tokens that the backend server has produced."""
        return self.outflow.tokens

    def refuse(self, reason, retry_after_s, message):
        """Tell the entry that the request was given up."""
        self.fail(
            exceptions.Refused(
                message,
                reason=reason,
                verdict=self.verdict,
                retry_after=retry_after_s,
            )
        )

    def fail(self, error):
        """Send `error` as the stream's last message."""
        if self.is_over:
            return
        self.flusher.flush(self.outflow)
        self.close()
        counters.count_refusal(error.reason, self.start.service)
        self.session.send(_error_message(self.start, error))

    def close(self):
        """End the stream; nothing more is sent for it."""
        self.is_over = True
        self.outflow.close()
        if self.timer:
            self.timer.cancel()

    def _carry(self, events):
        is_first = True
        for event in events:
            self.outflow.put(event)
            is_piece = type(event) is outflows.Piece
            self.flusher.mark(self.outflow, now=is_first or not is_piece)
            is_first = is_first and not is_piece


def ticket_for(ticket_id, start, now):
    """Return the `admission.Ticket` of `start`, which came at `now`."""
    priority = facts.Priority.TRAINING
    if start.priority == facts.Priority.LIVE:
        priority = facts.Priority.LIVE
    return admission.Ticket(ticket_id, priority, now + start.deadline_s)


def _error_message(start, error):
    return requests.ResponseError(
        start.stream_id,
        start.request_id,
        start.attempt,
        str(error.verdict),
        str(error.reason),
        error.message,
        error.retry_after,
        error.status,
    )


def expiry(is_running):
    """Return the reason and text of a passed deadline."""
    place = "at the backend server" if is_running else "in the agent's queue"
    return reasons.Refusal.DEADLINE, f"the deadline passed {place}"
