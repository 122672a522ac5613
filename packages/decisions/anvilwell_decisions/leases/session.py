"""The key-value lease that all leaderships of a daemon share."""

import typing

TTL_S = 10.0
RENEW_SHARE = 0.3
MARGIN_SHARE = 0.2


class Grant(typing.NamedTuple):
    """A call for a new lease of `ttl_s` seconds."""

    ttl_s: float


class KeepAlive(typing.NamedTuple):
    """A call to renew `lease`."""

    lease: int


class Session:
    """Computes until when this daemon may act under its lease.

    The deadline counts from the moment at which the call was *sent*, less a
    margin for clock drift and for the action itself. The store counts from a
    later moment, so the holder always stops before another may start. A lost
    response doesn't change the deadline. A lease that is renewed after its
    deadline is valid again: the store kept its keys, so no other daemon took
    them.
    """

    def __init__(self, ttl_s=TTL_S):
        self.ttl_s = ttl_s
        self.lease = 0
        self._renewed_at = None
        self._granted_s = 0.0

    @property
    def deadline(self):
        """Monotonic time after which no action is allowed."""
        if not self.lease:
            return float("-inf")
        return self._renewed_at + self._granted_s * (1.0 - MARGIN_SHARE)

    def is_held(self, now):
        """Return whether actions are allowed at `now`."""
        return now < self.deadline

    def next_call(self, now):
        """Return the call to make now, or None."""
        if not self.lease:
            return Grant(self.ttl_s)
        if now >= self._renewed_at + self._granted_s * RENEW_SHARE:
            return KeepAlive(self.lease)
        return None

    def granted(self, lease, sent_at):
        """Record a new lease that was requested at `sent_at`."""
        self.lease = lease
        self._renewed_at = sent_at
        self._granted_s = self.ttl_s

    def renewed(self, lease, sent_at, granted_s):
        """Record the response to a renewal sent at `sent_at`.

        ``granted_s`` is 0 if the store reports that the lease has expired.
        """
        if lease != self.lease:
            return
        if granted_s <= 0:
            self.lease = 0
        elif sent_at > self._renewed_at:
            self._renewed_at = sent_at
            self._granted_s = granted_s
