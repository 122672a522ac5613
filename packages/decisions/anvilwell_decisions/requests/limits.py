"""A concurrency limit that adapts to measured latency."""

import typing


# A saturated server caps the concurrency limit. The cap rises by this much
# with each window in which the limit may grow, as the server may have more
# capacity later.
_CEILING_STEP = 0.25


class LimitBounds(typing.NamedTuple):
    """Settings of the adaptive limit.

    ``tolerance`` is the ratio of the current latency to the best one above
    which the limit shrinks, by the factor ``backoff``. ``window`` is the
    number of requests between two adjustments.
    """

    initial: int = 16
    lowest: int = 2
    highest: int = 512
    tolerance: float = 1.25
    window: int = 16
    backoff: float = 0.9


class AdaptiveLimit:
    """A limit with additive increase and multiplicative decrease by latency.

    After each window of completed requests, their latency per unit of work is
    compared with the best seen so far. The limit grows while it is fully used
    and the latency is within the tolerance; it shrinks when the latency is
    above. At the lowest limit, where fewer requests can't help, the server
    itself must have become slower: its current latency becomes the new best.
    """

    def __init__(self, bounds=None):
        self._bounds = bounds or LimitBounds()
        self.limit = self._bounds.initial
        self.best_s = None
        self._ceiling = self._bounds.highest
        self.latency_s = None
        self._window_latency_s = 0.0
        self._window_work = 0.0
        self._window_count = 0
        self._window_max_demand = 0

    def observe(self, latency_s, work, demand):
        """Record the latency and work of one completed request.

        Parameters
        ----------
        latency_s : float
            Time from admission to completion, in seconds.
        work : float
            Amount of work done, such as generated tokens; 1 if unknown.
        demand : int
            Requests in flight or queued just before this one completed.
        """
        self._window_latency_s += latency_s
        self._window_work += max(1.0, work)
        self._window_count += 1
        self._window_max_demand = max(self._window_max_demand, demand)
        if self._window_count >= self._bounds.window:
            self._close_window()

    def record_saturation(self, running):
        """Cap the limit, as requests wait inside the backend server.

        Parameters
        ----------
        running : int
            Requests that the server runs; sending it more does not help.
        """
        self._ceiling = max(self._bounds.lowest, running)
        self.limit = min(self.limit, self._ceiling)

    def _close_window(self):
        latency_s = self._window_latency_s / self._window_work
        was_used = self._window_max_demand >= self.limit
        self._window_latency_s = self._window_work = 0.0
        self._window_count = self._window_max_demand = 0
        self.latency_s = latency_s
        if self.best_s is None or latency_s < self.best_s:
            self.best_s = latency_s
        self._adjust(latency_s, was_used)

    def _adjust(self, latency_s, was_used):
        bounds = self._bounds
        if latency_s > self.best_s * bounds.tolerance:
            if self.limit == bounds.lowest:
                self.best_s = latency_s
            shrunk = int(self.limit * bounds.backoff)
            self.limit = max(bounds.lowest, shrunk)
        elif was_used:
            grown = self.limit + max(1, self.limit // 16)
            self.limit = min(int(self._ceiling), grown)
            self._ceiling = min(bounds.highest, self._ceiling + _CEILING_STEP)
