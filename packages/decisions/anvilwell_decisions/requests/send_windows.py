"""Limits the requests that one entry sends to one replica in a second."""

import collections
import itertools
import math

# Length of the sliding window, in seconds: the second of the limit, and a
# margin for differences in network latency and in the precision of clocks.
WINDOW_S = 1.1


class SendWindow:
    """The requests that one entry has sent to one replica recently.

    ``pending`` is the number of requests that are about to be sent. They
    count in full, however long a connection takes to open.
    """

    def __init__(self):
        self._sent_at = collections.deque()
        self.pending = 0

    def used(self, now):
        """Return the number of requests that count at `now`."""
        while self._sent_at and self._sent_at[0] + WINDOW_S <= now:
            self._sent_at.popleft()
        return len(self._sent_at) + self.pending

    def record(self, now):
        """Record that a request is written to a connection."""
        self._sent_at.append(now)

    def wait_s(self, now, allowance, count=1):
        """Return the time until `count` more requests may be sent.

        In seconds; infinite if `allowance` is lower than `count`.
        """
        excess = self.used(now) + count - allowance
        if excess <= 0:
            return 0.0
        if count > allowance:
            return math.inf
        times = itertools.chain(
            self._sent_at, itertools.repeat(now, self.pending)
        )
        freed_by = next(itertools.islice(times, excess - 1, None))
        return freed_by + WINDOW_S - now


class ReplicaSends:
    """Decides whether this entry may send one more request to a replica.

    Parameters
    ----------
    window : SendWindow
        The requests sent to the replica and to its earlier incarnations.
    allowance_at : callable
        Returns this entry's allowance in any window, as of a time.
    is_cold : callable
        Returns whether the replica counts as cold.
    on_limit : callable
        Called when the limit is met for the first time since the last
        request.
    """

    def __init__(self, window, allowance_at, is_cold, on_limit=None):
        self.window = window
        self._allowance_at = allowance_at
        self._is_cold = is_cold
        self._on_limit = on_limit
        self._is_limit_reported = False
        # The last allowance that was computed, and for which time.
        self._known_allowance = (-math.inf, 0)
        self._loans_by_borrower = collections.defaultdict(collections.deque)
        # Requests that wait for the allowance instead of another replica, as
        # of the time of their decision.
        self._awaited = 0
        self._awaited_at = -math.inf

    @property
    def is_cold(self):
        """Whether the replica counts as cold."""
        return self._is_cold()

    def allowance(self, now):
        """Return the requests allowed in any window, less those lent."""
        known_at, known = self._known_allowance
        if known_at != now:
            known = max(0, self._allowance_at(now) - self._lent(now))
            self._known_allowance = (now, known)
        return known

    def spare(self, now):
        """Return how many further requests may be sent at `now`."""
        return max(0, self.allowance(now) - self.window.used(now))

    def may_send(self, now):
        """Return whether one more request may be sent at `now`."""
        if self.spare(now) > 0:
            return True
        if self._on_limit and not self._is_limit_reported:
            self._is_limit_reported = True
            self._on_limit()
        return False

    def record(self, now):
        """Record that a request is written to a connection."""
        self._is_limit_reported = False
        self.window.record(now)

    def wait_s(self, now):
        """Return the time until one more request may be sent, in seconds."""
        return self.window.wait_s(now, self.allowance(now))

    def turn_wait_s(self, now):
        """Return the time until one more request may be sent, in seconds.

        It comes after the requests that await their turn already.
        """
        if self._awaited_at != now:
            self._awaited_at = now
            self._awaited = 0
        return self.window.wait_s(now, self.allowance(now), self._awaited + 1)

    def await_turn(self):
        """Count a request that waits, as of the last call of `turn_wait_s`."""
        self._awaited += 1

    def reserve(self):
        """Return the `Permit` of a request that is about to be sent."""
        return Permit(self)

    def lend(self, borrower, count, until):
        """Record that `borrower` may send `count` requests in any window.

        The latest of these is sent before `until`.
        """
        loans = self._loans_by_borrower[borrower]
        loans.append((count, until + WINDOW_S))
        self._known_allowance = (-math.inf, 0)

    def _lent(self, now):
        """Return the requests that borrowers may have sent in the window."""
        total = 0
        for borrower, loans in tuple(self._loans_by_borrower.items()):
            while loans and loans[0][1] <= now:
                loans.popleft()
            if loans:
                total += max(count for count, _ in loans)
            else:
                del self._loans_by_borrower[borrower]
        return total


class Permit:
    """The right of one request to be sent to a replica.

    It counts as sent from its reservation on. As the allowance may change
    until the request is written, `use` checks it again.
    """

    def __init__(self, sends):
        self._sends = sends
        self._is_pending = True
        sends.window.pending += 1

    def use(self, now):
        """Record that the request is written now; return whether it may be.

        A request that is repeated at the same replica uses its permit again.
        """
        self.close()
        is_allowed = self._sends.may_send(now)
        if is_allowed:
            self._sends.record(now)
        return is_allowed

    def close(self):
        """Return the permit if the request was not written."""
        if self._is_pending:
            self._is_pending = False
            self._sends.window.pending -= 1
