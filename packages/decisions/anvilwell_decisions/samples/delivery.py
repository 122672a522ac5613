"""Assigns positions to recorded samples and delivers them in order."""

import enum
import itertools
import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records
from anvilwell_decisions.samples import staleness
from anvilwell_kernel import exceptions


class Bytes(enum.Enum):
    """Where a sample's bytes are: here, being fetched, or lost."""

    HERE = "here"
    FETCHING = "fetching"
    LOST = "lost"


class Batch(typing.NamedTuple):
    """The response to one collect request.

    ``voids`` are the positions to void, whose samples are generated again.
    With ``at_once`` the response is sent without waiting for more samples:
    the trainer must repeat its request before the position can be voided.
    """

    positions: tuple[int, ...]
    choices: tuple
    next_cursor: int
    steps_whole: tuple[int, ...]
    voids: tuple = ()
    at_once: bool = False
    actions: tuple = ()


class _Slot:
    """The choice at one position, and whether it can be delivered.

    ``voiding`` is set while its `records.Void` is being written, ``voided``
    once it is recorded.
    """

    __slots__ = ("bytes", "choice", "voided", "voiding")

    def __init__(self, choice, where):
        self.choice = choice
        self.bytes = where
        self.voiding = False
        self.voided = False


class Delivery:
    """Decides which samples a trainer receives at its cursor.

    The bytes at a position never change. A position that can't be delivered
    (its sample is over age, or its bytes are lost) is voided and the sample
    is generated again at a later position. This happens only when the
    trainer certainly has not received it: the position was never sent, or
    the trainer requested it again after it was withheld once. A single
    delayed request therefore never voids a position.
    """

    def __init__(self, bound):
        self.bound = bound
        self.trainer_version = 0
        self.acknowledged = 0
        self._first = 0
        self._slots = []
        self._sent_end = 0
        self._blocked_at = None
        self._missing_by_step = {}
        self._last_by_step = {}

    @property
    def first(self):
        """The first position that is still stored."""
        return self._first

    @property
    def end(self):
        """The position that the next recorded choice gets."""
        return self._first + len(self._slots)

    @property
    def missing(self):
        """How many samples of accepted steps are not recorded yet."""
        return sum(self._missing_by_step.values())

    def step_after(self, step):
        """Return the first step after `step`, or else the last one."""
        later = (known for known in self._missing_by_step if known > step)
        return min(later, default=max(self._missing_by_step, default=0))

    def start_at(self, position):
        """Start at `position`; earlier ones are acknowledged and deleted."""
        self._first = position
        self.acknowledged = position

    def expect(self, step, samples):
        """Add a step of which `samples` samples are still missing."""
        self._missing_by_step[step] = samples

    def recorded(self, choice, where=Bytes.HERE):
        """Assign the next position to `choice` and return the position."""
        position = self.end
        self._slots.append(_Slot(choice, where))
        step = choice.sample.step
        self._missing_by_step[step] -= 1
        self._last_by_step[step] = position
        return position

    def restore(self, choice):
        """Assign the next position to a choice read back from the log."""
        position = self.recorded(choice, Bytes.FETCHING)
        self._sent_end = self.end
        return position

    def void(self, position):
        """Mark `position` as voided and return its choice."""
        slot = self._slot(position)
        if not slot.voided:
            slot.voided = True
            self._missing_by_step[slot.choice.sample.step] += 1
        return slot.choice

    def fetches(self):
        """Return a ``Fetch`` for each position whose bytes are not here."""
        return [
            actions.Fetch(position, slot.choice)
            for position, slot in enumerate(self._slots, self._first)
            if slot.bytes is Bytes.FETCHING and not slot.voided
        ]

    def is_fetching(self, position):
        """Return whether the bytes of `position` are being fetched."""
        if self.is_closed(position):
            return False
        return self._slot(position).bytes is Bytes.FETCHING

    def bytes_found(self, position):
        """Mark the bytes of `position` as present."""
        if not self.is_closed(position):
            self._slot(position).bytes = Bytes.HERE

    def is_closed(self, position):
        """Return whether `position` is voided or no longer stored."""
        return position < self._first or self._slot(position).voided

    def skip(self):
        """Use up a position for a choice of a step that was forgotten."""
        slot = _Slot(None, Bytes.LOST)
        slot.voided = True
        self._slots.append(slot)

    def last_releasable_step(self, keep):
        """Return the last step that may be forgotten, or ``NO_STEP``.

        The last ``keep`` finished steps stay, for a trainer that resumes
        from an older cursor.
        """
        finished = []
        for step in sorted(self._missing_by_step):
            last = self._last_by_step.get(step, self.end)
            if self._missing_by_step[step] or last >= self.acknowledged:
                break
            finished.append(step)
        if len(finished) <= keep:
            return identity.NO_STEP
        return finished[-keep - 1]

    def forget(self, through):
        """Remove all steps up to `through` and return their choices."""
        done = [
            slot
            for slot in self._slots
            if not slot.voided and slot.choice.sample.step <= through
        ]
        for slot in done:
            slot.voided = True
        for step in [s for s in self._missing_by_step if s <= through]:
            del self._missing_by_step[step]
            self._last_by_step.pop(step, None)
        ahead = itertools.takewhile(
            lambda slot: slot.voided,
            self._slots[: self.acknowledged - self._first],
        )
        gone = len(list(ahead))
        del self._slots[:gone]
        self._first += gone
        return [slot.choice for slot in done]

    def bytes_lost(self, position):
        """Mark the bytes of `position` as lost at all holders."""
        if not self.is_closed(position):
            self._slot(position).bytes = Bytes.LOST

    def void_over_age(self):
        """Return voids for over-age positions that were never sent."""
        start = max(self._sent_end, self._first)
        return tuple(
            self._begin_void(position)
            for position in range(start, self.end)
            if self._is_over_age(position)
        )

    def collect(self, cursor, limit):
        """Return the `Batch` at `cursor`, which acknowledges all before it."""
        self._check_cursor(cursor)
        if self._blocked_at and self._blocked_at[0] != cursor:
            self._blocked_at = None
        self.acknowledged = cursor
        position, positions, choices = cursor, [], []
        while position < self.end and len(choices) < limit:
            slot = self._slot(position)
            if not slot.voided:
                if self._is_blocked(position):
                    break
                positions.append(position)
                choices.append(slot.choice)
            position += 1
        self._sent_end = max(self._sent_end, position)
        voids, at_once = self._void_blocked(cursor, position, limit, choices)
        return Batch(
            tuple(positions),
            tuple(choices),
            position,
            self._whole_steps(position),
            voids,
            at_once,
        )

    def _check_cursor(self, cursor):
        if not self._first <= cursor <= self.end:
            raise exceptions.BadRequest(
                f"cursor {cursor} is outside the stored positions "
                f"{self._first} to {self.end}; use a next_cursor that "
                "this run returned"
            )

    def _is_blocked(self, position):
        slot = self._slot(position)
        away = slot.bytes is not Bytes.HERE
        return slot.voiding or away or self._is_over_age(position)

    def _void_blocked(self, cursor, position, limit, choices):
        blocked = position < self.end and len(choices) < limit
        if not blocked or not self._is_undeliverable(position):
            return (), False
        never_sent = position >= self._sent_end
        is_repeated = self._blocked_at == (cursor, position)
        if not (never_sent or (is_repeated and position == cursor)):
            self._blocked_at = (cursor, position)
            return (), True
        self._blocked_at = None
        return tuple(
            self._begin_void(other)
            for other in range(position, self.end)
            if self._is_undeliverable(other)
        ), False

    def _is_undeliverable(self, position):
        slot = self._slot(position)
        if slot.voiding or slot.voided:
            return False
        return slot.bytes is Bytes.LOST or self._is_over_age(position)

    def _begin_void(self, position):
        slot = self._slot(position)
        slot.voiding = True
        lost = slot.bytes is Bytes.LOST
        return records.Void(position, "lost" if lost else "over-age")

    def _is_over_age(self, position):
        slot = self._slot(position)
        if slot.voiding or slot.voided:
            return False
        return staleness.is_over_age(
            slot.choice.versions, self.trainer_version, self.bound
        )

    def _slot(self, position):
        return self._slots[position - self._first]

    def _whole_steps(self, end):
        return tuple(
            step
            for step, missing in sorted(self._missing_by_step.items())
            if missing == 0 and self._last_by_step[step] < end
        )
