"""Responses to calls with an idempotency key: recorded or replayed."""

import itertools

from anvilwell_daemon.entry import calls
from anvilwell_decisions.requests import records
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts

REPLAYED = "Anvilwell-Replayed"
_CONTENT_TYPE = "content-type"


class RecordedAnswer:
    """A backend server's response whose outcome is recorded.

    A short response is read to its end at once, so that its outcome is
    recorded even if the caller disconnects.

    Parameters
    ----------
    answer : dispatcher.Answer
        The response of the backend server.
    settle : callable
        ``settle(verdict, outcome)``, called once when the response ends.
    """

    def __init__(self, answer, settle):
        self.status = answer.status
        self.headers = answer.headers
        self._answer = answer
        self._source = iter(answer)
        self._settle = settle
        self._body = b""
        self._is_settled = False
        self._pieces = itertools.chain(self._read_short(), self._rest())

    @property
    def finish(self):
        """The reason why a model's stream ended; None until it has."""
        return self._answer.finish

    @property
    def replica_id(self):
        """The id of the replica that ran the last attempt."""
        return self._answer.replica_id

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._pieces)

    def close(self):
        """Abort the call; if it has not ended, its outcome is unknown."""
        self._answer.close()
        self._end(verdicts.Verdict.MAY_HAVE_RUN)

    def _read_short(self):
        pieces = []
        for piece in self._observed():
            pieces.append(piece)
            if len(self._body) > records.MAX_BODY_BYTES:
                break
        return pieces

    def _rest(self):
        if not self._is_settled:
            yield from self._observed()

    def _observed(self):
        try:
            for piece in self._source:
                self._keep(piece.data)
                yield piece
        except exceptions.AnvilwellError:
            self._end(verdicts.Verdict.MAY_HAVE_RUN)
            raise
        self._end(verdicts.Verdict.RAN)

    def _keep(self, data):
        if len(self._body) <= records.MAX_BODY_BYTES:
            self._body += data

    def _end(self, verdict):
        if self._is_settled:
            return
        self._is_settled = True
        outcome = records.bounded_outcome(
            self.status, _content_type(self.headers), self._body
        )
        self._settle(verdict, outcome)


class ReplayedAnswer:
    """The recorded outcome of an idempotency key, sent again."""

    finish = None
    replica_id = ""

    def __init__(self, outcome):
        self.status = outcome.status
        self.headers = [(REPLAYED, "true")]
        if outcome.content_type:
            self.headers.append((_CONTENT_TYPE, outcome.content_type))
        self._pieces = iter([calls.Piece(outcome.body)])

    def __iter__(self):
        return self._pieces

    def close(self):
        """Do nothing: no call is in progress."""


def _content_type(headers):
    found = (v for name, v in headers if name.lower() == _CONTENT_TYPE)
    return next(found, "")
