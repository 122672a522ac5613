"""A swap whose outcome is found out when its answer is lost."""

import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel import verdict as verdicts

from anvilwell_outside.ports import keyvalue

MIN_CALL_S = 0.01


def swap_certainly(
    store,
    swaps,
    is_mine,
    *,
    purpose,
    timeout_s,
    budget,
    clock,
    sleep=time.sleep,
):
    """Apply all `swaps` or none, and find out which if an answer is lost.

    Parameters
    ----------
    store : keyvalue.KeyValue
        The store.
    swaps : list of keyvalue.Swap or keyvalue.Guard
        The first is a swap; its value holds an id that is unique to this call.
    is_mine : callable
        Takes the `Entry` read back for the first swap's key; returns
        whether that id is in its value, as the last change or in the
        history that the value keeps of earlier ones.
    purpose : keyvalue.Purpose
        What the calls are for.
    timeout_s : float
        Bound of the whole, in seconds.
    budget : retry_budget.RetryBudget
        Allows the read-backs and repeats.
    clock : clock.Clock
        Source of monotonic time.
    sleep : callable, optional
        Waits some seconds; tests put their own.

    Returns
    -------
    keyvalue.SwapResult
        What happened, for certain.

    Raises
    ------
    exceptions.KeyValueUnavailable
        If that could not be found out; ``NOT_RUN`` only if no try
        reached the store.

    Notes
    -----
    A lost swap is repeated only after a read has shown that its key is
    still at the expected revision. It may be that the lost one lands
    even later; as both expect the same revision, one lands at most, and
    the next read shows the id. A key that others delete may be created
    twice in that way, so it needs an expected revision above 0.
    """
    call = _Call(store, swaps, is_mine, purpose, budget, clock, sleep)
    return call.run(clock.monotonic() + timeout_s)


class _Call:
    """One call's tries until the outcome is known."""

    def __init__(self, store, swaps, is_mine, purpose, budget, clock, sleep):
        self._store = store
        self._swaps = swaps
        self._is_mine = is_mine
        self._purpose = purpose
        self._budget = budget
        self._clock = clock
        self._sleep = sleep
        self._verdict = verdicts.Verdict.NOT_RUN
        self._deadline = None

    def run(self, deadline):
        """Try until the outcome is known, or there is no time left."""
        self._deadline = deadline
        tries = 0
        while True:
            tries += 1
            try:
                return self._try()
            except exceptions.KeyValueUnavailable as error:
                self._verdict = verdicts.combine(self._verdict, error.verdict)
                self._wait(tries, error)

    def _try(self):
        if self._verdict is not verdicts.Verdict.NOT_RUN:
            known = self._read_back()
            if known is not None:
                return known
        result = self._store.swap(
            self._swaps, purpose=self._purpose, timeout_s=self._left_s()
        )
        if result.landed or self._verdict is verdicts.Verdict.NOT_RUN:
            return result
        return self._read_back() or result

    def _read_back(self):
        """Return the result if the store shows it, else None."""
        first = self._swaps[0]
        entry = self._store.get(
            first.key, purpose=self._purpose, timeout_s=self._left_s()
        )
        if entry is not None and self._is_mine(entry):
            return keyvalue.SwapResult(True, entry.revision, {})
        revision = entry.revision if entry else 0
        if revision == first.expected:
            return None
        found = {entry.key: entry} if entry else {}
        return keyvalue.SwapResult(False, revision, found)

    def _wait(self, tries, error):
        wait_s = max(self._budget.wait_s(tries), error.retry_after or 0.0)
        if self._left_s() <= wait_s or not self._budget.take():
            raise exceptions.KeyValueUnavailable(
                f"the outcome of a write is not known: {error.message}",
                reason=reasons.Refusal.KEY_VALUE_UNAVAILABLE,
                verdict=self._verdict,
                retry_after=error.retry_after,
            ) from error
        counters.count_retry(reasons.Retry.KEY_VALUE, str(self._purpose))
        self._sleep(wait_s)

    def _left_s(self):
        return max(self._deadline - self._clock.monotonic(), MIN_CALL_S)
