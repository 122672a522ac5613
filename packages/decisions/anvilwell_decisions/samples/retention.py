"""How long a run's log is kept."""

import collections
import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records

KEPT_STEPS = 1


class _Chunk(typing.NamedTuple):
    """A chunk, the position after it and the last step it accepts."""

    number: int
    end: int
    step: int


class Retention:
    """Says which chunks no recovery needs any more.

    A chunk goes once all its choices come before the first kept
    position and all steps that it accepts are done with.
    """

    def __init__(self):
        self.through = identity.NO_STEP
        self._chunks = collections.deque()

    def written(self, number, entries, end):
        """Note chunk `number`; `end` is the first position after it."""
        steps = [
            entry.step.step
            for entry in entries
            if isinstance(entry, records.StepAccepted)
        ]
        self._chunks.append(
            _Chunk(number, end, max(steps, default=identity.NO_STEP))
        )

    def trim(self, through, first, version):
        """Return a ``Trim``, in a list, if chunks can go.

        Parameters
        ----------
        through : int
            All steps up to it are done with.
        first : int
            The first position that is kept.
        version : str
            The trainer's version, for what replaces the chunks.
        """
        self.through = through
        gone = None
        while self._chunks and self._is_obsolete(self._chunks[0], first):
            gone = self._chunks.popleft()
        if gone is None:
            return []
        base = records.Base(gone.number + 1, gone.end, through, version)
        return [actions.Trim(base)]

    def _is_obsolete(self, chunk, first):
        # The last chunk stays: the next number follows from it.
        is_last = len(self._chunks) == 1
        is_needed = chunk.end > first or chunk.step > self.through
        return not (is_last or is_needed)
