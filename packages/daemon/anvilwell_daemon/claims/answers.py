"""Answers to claimed calls: recorded, replayed, and never cut short."""

import itertools

from anvilwell_daemon.entry import calls
from anvilwell_decisions.requests import records
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts

REPLAYED = "Anvilwell-Replayed"
_CONTENT_TYPE = "content-type"


class RecordedAnswer:
    """A dispatcher's answer whose end is told to the claims.

    A short answer is read to its end at once, so that its outcome is
    recorded whether or not its caller still listens.

    Parameters
    ----------
    answer : dispatcher.Answer
        What the backend server says.
    settle : callable
        ``settle(verdict, outcome)``, called once.
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
        """Why a model's stream ended, once it has."""
        return self._answer.finish

    @property
    def replica_id(self):
        """The replica of the last attempt."""
        return self._answer.replica_id

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._pieces)

    def close(self):
        """Give up what is under way; its outcome stays unknown."""
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
    """The recorded outcome of a key, given again."""

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
        """Nothing is under way."""


def _content_type(headers):
    found = (v for name, v in headers if name.lower() == _CONTENT_TYPE)
    return next(found, "")
