"""Limits the request rate of each team over all entries.

For each team one issuer divides the rate into grants that expire. The sum of
the grants that may still be in use never exceeds the limit, even if messages
are lost, delayed or duplicated.
"""

import heapq
import typing

# The token bucket of an entry holds its rate for this many seconds.
BURST_S = 1.0
# How long a request waits while its entry has no valid grant, in seconds.
NO_GRANT_WAIT_S = 1.0
# The demand of an entry counts as at least this share of its team's limit.
_MIN_SHARE = 0.02


class Grant(typing.NamedTuple):
    """Permission to pass `rate_per_s` requests per second for `ttl_s` seconds.

    The entry counts ``ttl_s`` from when it sent its demand, so that its grant
    expires before the issuer gives the share to another entry. ``number``
    increases with each grant, and ``term`` with each new issuer.
    """

    team: str
    entry_id: str
    term: int
    number: int
    rate_per_s: float
    ttl_s: float


class Demand(typing.NamedTuple):
    """The rate at which an entry receives a team's requests, per second.

    ``term`` and ``number`` identify the grant that the entry uses; both are 0
    if it has none.
    """

    team: str
    entry_id: str
    rate_per_s: float
    term: int = 0
    number: int = 0


class GrantSettings(typing.NamedTuple):
    """Settings of grants, in seconds.

    ``margin_s`` allows for the drift between two clocks within ``ttl_s``.
    """

    ttl_s: float = 6.0
    margin_s: float = 0.5


class _GrantedShare(typing.NamedTuple):
    """A grant that an entry may still use, and when it expires."""

    number: int
    rate_per_s: float
    until: float


class _Account:
    """The demand of one entry, and the grants that it may still use."""

    def __init__(self):
        self.demand_per_s = 0.0
        self.shares = []

    @property
    def held_per_s(self):
        """The largest rate that the entry's grants let it use now."""
        return max((share.rate_per_s for share in self.shares), default=0.0)

    def drop_unused(self, now, number):
        """Drop grants that expired or that the entry has replaced."""
        self.shares = [
            share
            for share in self.shares
            if share.until > now and share.number >= number
        ]


class Issuer:
    """Divides the rate of one team between the entries that request it.

    A new issuer has no record of the grants of the previous one, so it grants
    nothing until those have expired.

    Parameters
    ----------
    team : str
        The team that the rate belongs to.
    limit_per_s : float
        Requests per second over all entries.
    term : int
        Fencing number of the lease that makes this entry the issuer.
    now : float
        When it became the issuer, in monotonic seconds.
    """

    def __init__(self, team, limit_per_s, term, now, settings=None):
        self._team = team
        self._term = term
        self._settings = settings or GrantSettings()
        self._limit_per_s = limit_per_s
        self._grants_from = now + self._share_lifetime_s
        self._number = 0
        self._demand_per_s = 0.0
        self._held_per_s = 0.0
        self._expiries = []
        self._accounts_by_entry = {}

    @property
    def _share_lifetime_s(self):
        """How long a grant may be in use, seen from the issuer's clock."""
        return self._settings.ttl_s + self._settings.margin_s

    def issue(self, demand, now):
        """Return the `Grant` for a `Demand`."""
        self._expire_shares(now)
        account = self._account(demand.entry_id)
        # The number of a grant by another issuer must not be compared with
        # the numbers of this issuer's grants.
        number = demand.number if demand.term == self._term else 0
        self._drop_unused_shares(account, now, number)
        min_per_s = self._limit_per_s * _MIN_SHARE
        demand_per_s = max(demand.rate_per_s, min_per_s)
        self._demand_per_s += demand_per_s - account.demand_per_s
        account.demand_per_s = demand_per_s
        rate_per_s = (
            self._fair_rate_per_s(account) if now >= self._grants_from else 0.0
        )
        self._number += 1
        self._add_share(demand.entry_id, account, rate_per_s, now)
        return Grant(
            self._team,
            demand.entry_id,
            self._term,
            self._number,
            rate_per_s,
            self._settings.ttl_s,
        )

    def _fair_rate_per_s(self, account):
        """Return the rate to grant to an entry.

        This is the part of the team's limit that corresponds to the entry's
        share of the total demand, but at most the part of the limit that other
        entries don't hold.
        """
        free_per_s = self._limit_per_s - (
            self._held_per_s - account.held_per_s
        )
        fair_per_s = (
            self._limit_per_s * account.demand_per_s / self._demand_per_s
        )
        return max(0.0, min(free_per_s, fair_per_s))

    def _account(self, entry_id):
        return self._accounts_by_entry.setdefault(entry_id, _Account())

    def _add_share(self, entry_id, account, rate_per_s, now):
        until = now + self._share_lifetime_s
        before_per_s = account.held_per_s
        account.shares.append(_GrantedShare(self._number, rate_per_s, until))
        self._held_per_s += account.held_per_s - before_per_s
        heapq.heappush(self._expiries, (until, entry_id))

    def _drop_unused_shares(self, account, now, number):
        before_per_s = account.held_per_s
        account.drop_unused(now, number)
        self._held_per_s += account.held_per_s - before_per_s

    def _expire_shares(self, now):
        """Drop expired grants, and entries that have no other grant."""
        while self._expiries and self._expiries[0][0] <= now:
            _, entry_id = heapq.heappop(self._expiries)
            account = self._accounts_by_entry.get(entry_id)
            if account is None:
                continue
            self._drop_unused_shares(account, now, 0)
            if not account.shares:
                self._demand_per_s -= account.demand_per_s
                del self._accounts_by_entry[entry_id]


class TeamRate:
    """An entry's part of a team's rate: a token bucket filled by its grant.

    Without a valid grant no request passes.
    """

    def __init__(self, team, entry_id):
        self._team = team
        self._entry_id = entry_id
        self._grant = None
        self._until = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0
        self._request_count = 0

    def demand(self, window_s):
        """Return the `Demand` for the requests since the previous demand."""
        rate_per_s = self._request_count / window_s
        self._request_count = 0
        used = self._grant
        if used is None:
            return Demand(self._team, self._entry_id, rate_per_s)
        return Demand(
            self._team, self._entry_id, rate_per_s, used.term, used.number
        )

    def granted(self, grant, demanded_at):
        """Use `grant` for the team's rate if it is newer than the present one.

        ``demanded_at`` is when the `Demand` that it answers was sent.
        """
        old = self._grant
        if old and (grant.term, grant.number) <= (old.term, old.number):
            return
        self._grant = grant
        self._until = demanded_at + grant.ttl_s

    def rate_per_s(self, now):
        """Return the rate allowed by the grant now, in requests per second."""
        return self._grant.rate_per_s if now < self._until else 0.0

    def try_acquire(self, now):
        """Return None if a request may pass, else the seconds to wait."""
        self._request_count += 1
        rate_per_s = self.rate_per_s(now)
        filled = self._tokens + (now - self._filled_at) * rate_per_s
        self._tokens = min(filled, max(1.0, rate_per_s * BURST_S))
        self._filled_at = now
        if rate_per_s > 0 and self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return (
            (1.0 - self._tokens) / rate_per_s
            if rate_per_s
            else NO_GRANT_WAIT_S
        )
