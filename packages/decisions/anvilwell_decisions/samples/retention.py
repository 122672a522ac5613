"""Decides which chunks of a run's log can be deleted."""

import collections
import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records

# Finished steps that stay for a trainer that resumes from an older cursor.
KEPT_STEPS = 1


class _Chunk(typing.NamedTuple):
    """A chunk, the first position after it and the last step it accepts."""

    number: int
    end: int
    step: int


class Retention:
    """Finds the chunks that recovery no longer needs.

    A chunk can be deleted once all its choices come before the first stored
    position and all steps that it accepts are complete.
    """

    def __init__(self):
        self.through = identity.NO_STEP
        self._chunks = collections.deque()

    def written(self, number, entries, end):
        """Add chunk `number`; `end` is the first position after it."""
        steps = [
            entry.step.step
            for entry in entries
            if isinstance(entry, records.StepAccepted)
        ]
        self._chunks.append(
            _Chunk(number, end, max(steps, default=identity.NO_STEP))
        )

    def trim(self, through, first, version):
        """Return a list of a ``Trim`` if chunks can be deleted.

        Parameters
        ----------
        through : int
            All steps up to this one are complete.
        first : int
            The first position that is still stored.
        version : str
            The trainer's weight version, recorded in the `records.Base`.
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
        # The last chunk stays, as the next number is computed from it.
        is_last = len(self._chunks) == 1
        is_needed = chunk.end > first or chunk.step > self.through
        return not (is_last or is_needed)
