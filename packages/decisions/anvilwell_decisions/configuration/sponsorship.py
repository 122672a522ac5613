"""Lets an instance serve that started during a store outage."""

import typing


class Sponsored(typing.NamedTuple):
    """The sponsor of an instance and the time of the last granted request."""

    sponsor: object
    last_contact_at: float


class Membership:
    """Decides whether this instance may serve.

    It may serve once it is in the member list of the key-value service.
    Before that, it may serve for ``sponsor_s`` after it requested the
    documents in force from a sponsor, a listed instance without a pending
    change. A change that is accepted later needs the sponsor's prepare, or
    the sponsor must have stopped; both happen after the request. All
    instances must stop serving the old document within ``fence_s`` of the
    acceptance. As ``sponsor_s`` is not longer than that, a sponsored instance
    stops in time.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self.is_listed = False
        self.sponsored = None

    def mark_listed(self):
        """Record that this instance is in the member list."""
        self.is_listed = True
        self.sponsored = None

    def record_sponsor_answer(self, sponsor, requested_at):
        """Record that `sponsor` granted a request sent at `requested_at`."""
        if self.is_listed:
            return
        self.sponsored = Sponsored(sponsor, requested_at)

    def may_serve(self, now):
        """Return whether this instance may serve at `now`."""
        if self.is_listed:
            return True
        if self.sponsored is None:
            return False
        return now - self.sponsored.last_contact_at < self._bounds.sponsor_s
