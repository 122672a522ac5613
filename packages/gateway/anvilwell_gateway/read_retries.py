"""Decides when to read the store again after a read or a watch failed."""

import asyncio
import contextlib
import random

# Longest wait between attempts while the store answers no call of this
# process, in seconds; it doubles after each attempt up to the maximum. Refused
# calls are charged too, and a long wait does little harm, as the first answer
# to any call, usually a lease renewal or a ping, ends it.
FIRST_WAIT_S = 1.0
MAX_WAIT_S = 8.0
# Wait between attempts while the store refuses these calls but answers others,
# in seconds. That is no outage, and changes are missed until an attempt
# succeeds.
REFUSED_WAIT_S = 0.5
# Fraction of each wait that is random, so that the retries of many processes
# are spread over time.
JITTER_SHARE = 0.3


class ReadRetries:
    """The waits between attempts to read one prefix.

    A refusal for this process alone, or for these calls alone, looks like an
    outage from here, and only an answer shows that it is over. So the next
    answer to any call of this process ends a wait.

    Parameters
    ----------
    store : store.OutageTracker
        Says when the store answered.
    max_wait_s : float
        Longest wait while the store does not answer, in seconds.
    """

    def __init__(self, store, max_wait_s=MAX_WAIT_S):
        self._store = store
        self._max_wait_s = max_wait_s
        self._next_wait_s = FIRST_WAIT_S

    def succeeded(self):
        """Record that an attempt succeeded."""
        self._next_wait_s = FIRST_WAIT_S

    async def wait(self):
        """Wait until the next attempt after one that has just failed."""
        failed_at = asyncio.get_running_loop().time()
        longest_s = min(self._max_wait_s, self._next_wait_s)
        self._next_wait_s = 2 * longest_s
        longest_s = _with_jitter(longest_s)
        await asyncio.sleep(min(longest_s, _with_jitter(REFUSED_WAIT_S)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(failed_at + longest_s):
                await self._store.wait_for_answer(failed_at)


def _with_jitter(wait_s):
    return wait_s * (1 - JITTER_SHARE * random.random())
