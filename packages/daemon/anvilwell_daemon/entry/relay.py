"""One call through its attempts, as steps without input or output."""

from anvilwell_daemon.entry import attempt as attempts
from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import retries
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
        self._attempts = 0
        self._verdict = verdicts.Verdict.NOT_RUN
        self._tried = set()
        self._has_head = False
        self._pieces = 0
        self._tokens = 0
        self._version = ""
        self.finish = ""
        self.replica_id = ""

    def steps(self):
        """Yield the steps; see the class."""
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
        candidate = self._choose()
        self.replica_id = candidate
        link = self._tools.replicas.link(candidate)
        attempt = self._tools.opener.attempt(link)
        mailbox = self._new_mailbox()
        is_over = False
        attempt.open(self._start(), mailbox)
        try:
            yield from self._events(attempt, mailbox)
            is_over = True
        except exceptions.AnvilwellError:
            is_over = True
            raise
        finally:
            if not is_over:
                attempt.cancel()

    def _events(self, attempt, mailbox):
        is_resumed = self._pieces > 0
        while True:
            event = yield calls.Wait(mailbox, self._time_left())
            if event is None:
                attempt.expire()
                event = yield calls.Wait(mailbox, FINAL_EVENT_S)
            kind = type(event)
            if kind is requests.ResponseData:
                attempt.consumed()
                self._check_version(event, is_resumed)
                is_resumed = False
                yield self._piece(event)
            elif kind is requests.ResponseHead:
                if not self._has_head:
                    self._has_head = True
                    yield event
            elif kind is requests.ResponseEnd:
                self.finish = event.finish
                return
            else:
                raise event or exceptions.Timeout("no final event came")

    def _piece(self, event):
        self._pieces += 1
        self._tokens += event.tokens
        self._version = event.version
        return calls.Piece(event.data, event.tokens, event.version)

    def _check_version(self, event, is_resumed):
        if is_resumed and event.version != self._version:
            raise exceptions.BackendFailed(
                "the stream went on under another version",
                reason=reasons.Refusal.ANSWER_CUT,
            )

    def _choose(self):
        if self._only:
            return self._only
        candidates = self._candidates()
        if not candidates:
            raise exceptions.Refused(
                f"no replica of {self._call.service!r} takes requests now",
                reason=reasons.Refusal.NO_REPLICA,
                retry_after=1.0,
            )
        chosen = self._tools.routing.choose(
            self._call, candidates, self._tools.clock.monotonic()
        )
        self._tried.add(chosen.replica_id)
        return chosen.replica_id

    def _candidates(self):
        wanted = {self._version} if self._pieces else set(self._call.versions)
        usable = [
            candidate
            for candidate in self._tools.replicas.candidates(
                self._call.service
            )
            if not wanted
            or (candidate.load and candidate.load.version in wanted)
        ]
        fresh = [
            candidate
            for candidate in usable
            if candidate.replica_id not in self._tried
        ]
        return fresh or usable

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
            task_id=logs.current_task_id(),
            generation=call.generation,
            credit=attempts.WINDOW_FRAMES,
            key=call.key,
            version=self._version if self._pieces else "",
        )

    def _retry(self, error):
        self._verdict = verdicts.combine(self._verdict, error.verdict)
        now = self._tools.clock.monotonic()
        failure = retries.Failure(
            idempotent=self._call.idempotent,
            is_model=self._call.is_model,
            verdict=self._verdict,
            reason=error.reason,
            attempts=self._attempts,
            pieces=self._pieces + (self._has_head and not self._call.is_model),
            version=self._version,
            time_left_s=self._deadline - now,
        )
        retry = None
        if not self._only:
            retry = self._tools.retries.decide(
                self._call.service, failure, now
            )
        self._note(error, retry)
        if retry is None:
            error.verdict = self._verdict
            raise error
        counters.count_retry(retry.reason, self._call.service)
        return retry

    def _note(self, error, retry):
        fields = {
            "attempt": self._attempts,
            "replica": self.replica_id,
            "verdict": str(error.verdict),
            "reason": str(error.reason),
            "pieces": self._pieces,
            "retry": str(retry.reason) if retry else "",
        }
        _LOG.log("failed", request_id=self._call.request_id, **fields)
        self._tools.traces.note(
            self._call.request_id, "attempt-failed", **fields
        )

    def _time_left(self):
        return max(0.0, self._deadline - self._tools.clock.monotonic())
