"""The one key-value lease that a daemon's leaderships share."""

import typing

TTL_S = 10.0
RENEW_SHARE = 0.3
MARGIN_SHARE = 0.2


class Grant(typing.NamedTuple):
    """Ask for a new lease of `ttl_s` seconds."""

    ttl_s: float


class KeepAlive(typing.NamedTuple):
    """Renew `lease`."""

    lease: int


class Session:
    """Knows until when this daemon may act under its lease.

    The deadline counts from the moment the call was *sent*, less a
    margin for clock drift and for the act itself. The store counts from
    a later moment, so the holder always stops before another may start.
    A lost answer moves nothing. A lease renewed after its deadline is
    good again: the store kept its keys, so nobody else took them.
    """

    def __init__(self, ttl_s=TTL_S):
        self.ttl_s = ttl_s
        self.lease = 0
        self._renewed_at = None
        self._granted_s = 0.0

    @property
    def deadline(self):
        """Monotonic time after which no act is allowed."""
        if not self.lease:
            return float("-inf")
        return self._renewed_at + self._granted_s * (1.0 - MARGIN_SHARE)

    def is_held(self, now):
        """Return whether acts are allowed at `now`."""
        return now < self.deadline

    def next_call(self, now):
        """Return the call to make now, or None."""
        if not self.lease:
            return Grant(self.ttl_s)
        if now >= self._renewed_at + self._granted_s * RENEW_SHARE:
            return KeepAlive(self.lease)
        return None

    def granted(self, lease, sent_at):
        """Take a new lease, asked for at `sent_at`."""
        self.lease = lease
        self._renewed_at = sent_at
        self._granted_s = self.ttl_s

    def renewed(self, lease, sent_at, granted_s):
        """Take the answer to a renewal sent at `sent_at`.

        ``granted_s`` is 0 if the store says that the lease has lapsed.
        """
        if lease != self.lease:
            return
        if granted_s <= 0:
            self.lease = 0
        elif sent_at > self._renewed_at:
            self._renewed_at = sent_at
            self._granted_s = granted_s
