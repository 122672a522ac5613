"""Weighted fair shares between runs, by start-time fair queueing.

Source: Goyal, Vin, Cheng, "Start-time fair queueing", 1996.
"""

import sortedcontainers


class Fairness:
    """Orders the runs that have work, least served first.

    Work that a trainer needs now goes before work started early, so that
    no run's early work holds up another's step. A run that was idle
    begins at the present virtual time: it neither starves others nor is
    starved.
    """

    def __init__(self):
        self._weights_by_run = {}
        self._served_by_run = {}
        self._keys_by_run = {}
        self._ready = sortedcontainers.SortedList()
        self._virtual = 0.0

    def set_weight(self, run, weight):
        """Add a run, or change its weight."""
        self._weights_by_run[run] = weight
        self._served_by_run.setdefault(run, self._virtual)

    def file(self, run, ready, *, early=False):
        """Note whether `run` has work that may start."""
        key = self._keys_by_run.pop(run, None)
        if key is not None:
            self._ready.remove(key)
        elif ready:
            served = self._served_by_run[run]
            self._served_by_run[run] = max(served, self._virtual)
        if ready:
            key = (early, self._served_by_run[run], run)
            self._keys_by_run[run] = key
            self._ready.add(key)

    def first(self):
        """Return the run that goes next, None if none is ready."""
        if not self._ready:
            return None
        _, served, run = self._ready[0]
        self._virtual = max(self._virtual, served)
        return run

    def charge(self, run, tokens):
        """Count `tokens` of service to `run`; may be negative."""
        self._served_by_run[run] += tokens / self._weights_by_run[run]
        key = self._keys_by_run.get(run)
        if key is not None:
            self.file(run, True, early=key[0])
