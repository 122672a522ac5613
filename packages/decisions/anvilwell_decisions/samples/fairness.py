"""Weighted fair shares of the slots between runs."""

import sortedcontainers


class Fairness:
    """Orders the runs that have work, by slots held over weight.

    All slots make tokens at much the same rate, so equal slots are equal
    service. Work that a trainer needs now goes before work started
    early, so that no run's early work holds up another's step. A run
    that was idle has no claim on the past, and one with work but no slot
    is always first: none starves.
    """

    def __init__(self):
        self._weights_by_run = {}
        self._slots_by_run = {}
        self._keys_by_run = {}
        self._ready = sortedcontainers.SortedList()

    def set_weight(self, run, weight):
        """Add a run, or change its weight."""
        self._weights_by_run[run] = weight
        self._slots_by_run.setdefault(run, 0)

    def set_ready(self, run, ready, *, early=False):
        """Note whether `run` has work that may start."""
        key = self._keys_by_run.pop(run, None)
        if key is not None:
            self._ready.remove(key)
        if ready:
            held = self._slots_by_run[run] / self._weights_by_run[run]
            key = (early, held, run)
            self._keys_by_run[run] = key
            self._ready.add(key)

    def first(self):
        """Return the run that goes next, None if none is ready."""
        return self._ready[0][-1] if self._ready else None

    def add_slots(self, run, slots):
        """Note that `run` took (or, if negative, gave back) slots."""
        self._slots_by_run[run] += slots
        key = self._keys_by_run.get(run)
        if key is not None:
            self.set_ready(run, True, early=key[0])
