"""Instances that started while the key-value service was down."""

import typing


class Sponsored(typing.NamedTuple):
    """Whom an instance depends on, and when it last heard from it."""

    sponsor: object
    last_contact_at: float


class Membership:
    """Whether this instance may serve at all.

    It may once it is in the service's member list, or for a bound
    after a listed instance without a change prepared told it what is
    in force. A change that lands later needs that one's prepare, or
    its end, which comes after the question: so the bound, no longer
    than the fence, ends soon enough.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self.is_listed = False
        self.sponsored = None

    def mark_listed(self):
        """Note that this instance is in the member list."""
        self.is_listed = True
        self.sponsored = None

    def record_sponsor_answer(self, sponsor, asked_at):
        """Note an answer of `sponsor` to a question of `asked_at`."""
        if self.is_listed:
            return
        self.sponsored = Sponsored(sponsor, asked_at)

    def may_serve(self, now):
        """Return whether this instance may serve at `now`."""
        if self.is_listed:
            return True
        if self.sponsored is None:
            return False
        return now - self.sponsored.last_contact_at < self._bounds.sponsor_s
