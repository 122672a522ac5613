"""A concurrency limit that is learned from latency."""

import typing


# A server that let requests wait may have more room later on.
_CEILING_STEP = 0.25


class LimitBounds(typing.NamedTuple):
    """Settings of the adaptive limit.

    ``tolerance`` is how much slower than its best a server may get
    before the limit shrinks. ``window`` is in requests.
    """

    initial: int = 16
    lowest: int = 2
    highest: int = 512
    tolerance: float = 1.25
    window: int = 16
    backoff: float = 0.9


class AdaptiveLimit:
    """Additive increase, multiplicative decrease on latency per work.

    Once a window of requests has ended, their latency per unit of work
    is compared with the best that was ever seen. The limit grows while
    it is in use and the latency is within tolerance, and shrinks when
    it is not. At its lowest, when fewer requests cannot help, the best
    is learned anew: the server itself has become slower.
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
        """Take in one end of a request.

        Parameters
        ----------
        latency_s : float
            From admission to the end, in seconds.
        work : float
            What it took, such as generated tokens; 1 if unknown.
        wanted : int
            Requests in flight or queued just before this one ended.
        """
        self._window_latency_s += latency_s
        self._window_work += max(1.0, work)
        self._window_count += 1
        self._window_max_demand = max(self._window_max_demand, demand)
        if self._window_count >= self._bounds.window:
            self._close_window()

    def record_saturation(self, running):
        """Note that the server itself lets requests wait.

        Parameters
        ----------
        running : int
            Requests that it works on; more at a time cannot help.
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
