"""Shares the slots fairly between runs, by weight."""

import sortedcontainers


class Fairness:
    """Orders the runs that have work by used slots, divided by weight.

    All slots generate tokens at about the same rate, so equal slots mean
    equal service. Work for the step that a trainer needs now goes before
    early work, so that one run's early work doesn't delay another run's
    step. A run that was idle isn't compensated for that time. Of the runs
    with needed work, one without any slot goes first, so none starves.
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
        """Set whether `run` has work that may start, and if it is early."""
        key = self._keys_by_run.pop(run, None)
        if key is not None:
            self._ready.remove(key)
        if ready:
            held = self._slots_by_run[run] / self._weights_by_run[run]
            key = (early, held, run)
            self._keys_by_run[run] = key
            self._ready.add(key)

    def first(self):
        """Return the run to serve next, or None if none is ready."""
        return self._ready[0][-1] if self._ready else None

    def add_slots(self, run, slots):
        """Add `slots` to those that `run` uses; negative to release some."""
        self._slots_by_run[run] += slots
        key = self._keys_by_run.get(run)
        if key is not None:
            self.set_ready(run, True, early=key[0])
