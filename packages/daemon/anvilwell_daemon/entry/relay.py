"""One call through its attempts, as steps without input or output."""

from anvilwell_daemon.entry import attempt as attempts
from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import pace
from anvilwell_daemon.entry import resumed
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import retries
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import requests
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

AGENT_MARGIN_S = 0.05
MIN_AGENT_DEADLINE_S = 0.001
FINAL_EVENT_S = 1.0

_LOG = logs.get_logger(__name__)


class Relay:
    """Drives a call to its end.

    ``steps`` is a generator: it yields `calls.Wait`, to be sent the
    event that came or None, then the answer's `requests.ResponseHead`
    once and its `calls.Piece`s. It returns after a whole answer and
    raises an ``AnvilwellError``, with the verdict over all attempts,
    otherwise. Closing it cancels what is under way.

    Parameters
    ----------
    call : calls.Call
        The request.
    tools : dispatcher.Tools
        Replicas, decisions and clock.
    new_mailbox : callable
        Makes the mailbox of an attempt.
    only : str
        The one replica to try, once; "" for routing and retries.
    """

    def __init__(self, call, tools, new_mailbox, only=""):
        self._call = call
        self._tools = tools
        self._new_mailbox = new_mailbox
        self._only = only
        self._deadline = tools.clock.monotonic() + call.deadline_s
        self._task_ids = logs.new_task_id_factory()
        self._attempts = 0
        self._verdict = verdicts.Verdict.NOT_RUN
        self._tried = set()
        self._has_head = False
        self._pieces = 0
        self._delivered = resumed.Delivered()
        self._version = ""
        self.finish = ""
        self.replica_id = ""

    def steps(self):
        """Yield the steps; see the class."""
        self._tools.load.enter()
        try:
            yield from self._attempts_until_whole()
        finally:
            self._tools.load.leave()

    def _attempts_until_whole(self):
        while True:
            try:
                yield from self._attempt()
            except exceptions.AnvilwellError as error:
                retry = self._retry(error)
                yield calls.Wait(self._new_mailbox(), retry.delay_s)
            else:
                return

    def _attempt(self):
        self._attempts += 1
        self.replica_id = self._choose()
        replicas = self._tools.replicas
        attempt = self._tools.opener.attempt(replicas.link(self.replica_id))
        begun = self._tools.clock.monotonic()
        service = self._call.service
        replicas.started(service, self.replica_id)
        failed = True
        try:
            yield from self._stream(attempt)
            failed = False
        finally:
            latency_s = self._tools.clock.monotonic() - begun
            replicas.ended(
                service, facts.AttemptEnd(self.replica_id, failed, latency_s)
            )

    def _stream(self, attempt):
        mailbox = self._new_mailbox()
        attempt.open(self._start(), mailbox)
        try:
            yield from self._events(attempt, mailbox)
        finally:
            # Does nothing if the stream has ended.
            attempt.cancel()

    def _events(self, attempt, mailbox):
        text = resumed.Resumed(self._delivered)
        while True:
            event = yield calls.Wait(mailbox, self._time_left())
            if event is None:
                attempt.expire()
                event = yield calls.Wait(mailbox, FINAL_EVENT_S)
            kind = type(event)
            if kind is requests.ResponseData:
                attempt.consumed()
                piece = self._fresh_part(text, event)
                if piece is not None:
                    yield piece
            elif kind is requests.ResponseHead:
                if not self._has_head:
                    self._has_head = True
                    yield event
            elif kind is requests.ResponseEnd:
                text.check_end()
                self.finish = event.finish
                return
            else:
                raise event or exceptions.Timeout("no final event came")

    def _fresh_part(self, text, event):
        """Return the part of `event` that the caller lacks, or None."""
        piece = text.fresh(
            calls.Piece(event.data, event.tokens, event.version)
        )
        if piece is not None:
            self._pieces += 1
            self._version = piece.version
            if self._call.is_model:
                self._delivered.add(piece)
        return piece

    def _choose(self):
        if self._only:
            return self._only
        call = self._call
        request = facts.RequestFacts(
            call.request_id,
            call.service,
            facts.Priority(call.priority),
            self._version if self._pieces else call.version,
            idempotent=call.idempotent,
            prefix=call.prefix,
            excluded=frozenset(self._tried),
        )
        try:
            chosen = self._tools.replicas.choose(request)
        except exceptions.Refused:
            if not self._tried:
                raise
            # All have failed once; any of them may be well again.
            self._tried.clear()
            request = request._replace(excluded=frozenset())
            chosen = self._tools.replicas.choose(request)
        self._tried.add(chosen)
        return chosen

    def _start(self):
        call = self._call
        time_left_s = self._time_left() - AGENT_MARGIN_S
        return requests.RequestStart(
            stream_id=0,
            request_id=call.request_id,
            attempt=self._attempts,
            service=call.service,
            priority=call.priority,
            idempotent=call.idempotent,
            method=call.method,
            path=call.path,
            headers=list(call.headers),
            body=call.body,
            deadline_s=max(MIN_AGENT_DEADLINE_S, time_left_s),
            task_id=self._task_ids(),
            generation=call.generation,
            credit=attempts.WINDOW_FRAMES,
            key=call.key,
            version=self._version if self._pieces else "",
            flush_s=pace.flush_s(call.priority, self._tools.load.open),
        )

    def _retry(self, error):
        self._verdict = verdicts.combine(self._verdict, error.verdict)
        decision = retries.GIVE_UP
        if not self._only:
            decision = self._tools.retries(self._call.service).decide(
                self._failure(error)
            )
        if self._pieces and decision is not retries.GIVE_UP:
            decision = decision._replace(reason=reasons.Retry.STREAM_RESUMED)
        self._note(error, decision)
        if decision.action is retries.Action.GIVE_UP:
            error.verdict = self._verdict
            raise error
        counters.count_retry(decision.reason, self._call.service)
        return decision

    def _failure(self, error):
        return retries.FailedAttempt(
            verdict=self._verdict,
            reason=error.reason,
            idempotent=self._call.idempotent,
            attempts=self._attempts,
            time_left_s=self._time_left(),
            # A model's text can go on elsewhere, checked by its digest.
            has_response_started=self._has_head and not self._call.is_model,
            retry_after_s=error.retry_after,
            priority=facts.Priority(self._call.priority),
        )

    def _note(self, error, decision):
        fields = {
            "attempt": self._attempts,
            "replica": self.replica_id,
            "verdict": str(error.verdict),
            "reason": str(error.reason),
            "pieces": self._pieces,
            "retry": str(decision.reason or ""),
        }
        _LOG.log("failed", request_id=self._call.request_id, **fields)
        self._tools.traces.note(
            self._call.request_id, "attempt-failed", **fields
        )

    def _time_left(self):
        return max(0.0, self._deadline - self._tools.clock.monotonic())
