"""Wakes those who wait for something to happen in a run."""

import asyncio
import collections


class Waiters:
    """One condition for each run; events only count, conditions decide."""

    def __init__(self):
        self._futures_by_run = collections.defaultdict(set)
        self._changes_by_run = collections.Counter()

    def changes(self, run):
        """Return how often `run` was woken."""
        return self._changes_by_run[run]

    def wake(self, run):
        """Let all who wait for `run` look again."""
        self._changes_by_run[run] += 1
        for future in self._futures_by_run.pop(run, ()):
            if not future.done():
                future.set_result(None)

    def close(self):
        """Wake everyone."""
        for run in list(self._futures_by_run):
            self.wake(run)

    async def until(self, run, condition, timeout_s):
        """Wait until ``condition()`` holds; return whether it does."""
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    future = asyncio.get_running_loop().create_future()
                    self._futures_by_run[run].add(future)
                    try:
                        await future
                    finally:
                        self._futures_by_run[run].discard(future)
        except TimeoutError:
            return condition()
        return True

    async def changed(self, run, seen, timeout_s):
        """Wait until `run` was woken after `seen`, see ``changes``."""
        return await self.until(
            run, lambda: self.changes(run) != seen, timeout_s
        )
