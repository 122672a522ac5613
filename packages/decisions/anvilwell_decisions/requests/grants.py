"""Rate limits of teams that hold across entries.

One issuer for each team divides its rate into grants that lapse. The
sum of the grants that may still be in use is never above the limit,
whatever messages are lost, late or doubled.
"""

import heapq
import typing

BURST_S = 1.0
NO_GRANT_WAIT_S = 1.0
_LEAST_SHARE = 0.02


class Grant(typing.NamedTuple):
    """The right to `rate_s` requests a second for `ttl_s` seconds.

    The entry counts ``ttl_s`` from when it sent its demand, so that it
    stops before the issuer gives the share away. ``number`` grows, and
    ``term`` grows with each new issuer.
    """

    team: str
    entry_id: str
    term: int
    number: int
    rate_s: float
    ttl_s: float


class Demand(typing.NamedTuple):
    """What an entry has been asked for, in requests a second.

    ``term`` and ``number`` are those of the grant it uses, 0 for none.
    """

    team: str
    entry_id: str
    rate_s: float
    term: int = 0
    number: int = 0


class GrantSettings(typing.NamedTuple):
    """Settings of grants, in seconds.

    ``margin_s`` covers the drift of two clocks within ``ttl_s``.
    """

    ttl_s: float = 6.0
    margin_s: float = 0.5


class _Share(typing.NamedTuple):
    number: int
    rate_s: float
    until: float


class _Account:
    """What one entry wants, and the grants that it may still use."""

    def __init__(self):
        self.wanted_s = 0.0
        self.shares = []

    @property
    def held_s(self):
        """The largest rate that the entry may use now."""
        return max((share.rate_s for share in self.shares), default=0.0)

    def keep(self, now, number):
        """Drop grants that have lapsed or that the entry has replaced."""
        self.shares = [
            share
            for share in self.shares
            if share.until > now and share.number >= number
        ]


class Issuer:
    """Divides one team's rate between the entries that ask.

    A new issuer can't know what the last one gave, so it gives nothing
    until those grants have lapsed.

    Parameters
    ----------
    team : str
        Whose rate it is.
    limit_s : float
        Requests a second over all entries.
    term : int
        Fencing number of the lease that makes it the issuer.
    now : float
        When it became the issuer; monotonic seconds.
    """

    def __init__(self, team, limit_s, term, now, settings=None):
        self._team = team
        self._term = term
        self._settings = settings or GrantSettings()
        self._limit_s = limit_s
        self._gives_from = now + self._lapse_s
        self._number = 0
        self._wanted_s = 0.0
        self._held_s = 0.0
        self._lapses = []
        self._accounts_by_entry = {}

    @property
    def _lapse_s(self):
        return self._settings.ttl_s + self._settings.margin_s

    def ask(self, demand, now):
        """Return the `Grant` that answers a `Demand`."""
        self._lapse(now)
        account = self._account(demand.entry_id)
        # Another issuer's numbers say nothing of this one's grants.
        number = demand.number if demand.term == self._term else 0
        self._update(account, now, number)
        least_s = self._limit_s * _LEAST_SHARE
        wanted_s = max(demand.rate_s, least_s)
        self._wanted_s += wanted_s - account.wanted_s
        account.wanted_s = wanted_s
        rate_s = self._rate_s(account) if now >= self._gives_from else 0.0
        self._number += 1
        self._give(demand.entry_id, account, rate_s, now)
        return Grant(
            self._team,
            demand.entry_id,
            self._term,
            self._number,
            rate_s,
            self._settings.ttl_s,
        )

    def _rate_s(self, account):
        """Return the fair part, within what is surely free."""
        free_s = self._limit_s - (self._held_s - account.held_s)
        fair_s = self._limit_s * account.wanted_s / self._wanted_s
        return max(0.0, min(free_s, fair_s))

    def _account(self, entry_id):
        return self._accounts_by_entry.setdefault(entry_id, _Account())

    def _give(self, entry_id, account, rate_s, now):
        until = now + self._lapse_s
        before_s = account.held_s
        account.shares.append(_Share(self._number, rate_s, until))
        self._held_s += account.held_s - before_s
        heapq.heappush(self._lapses, (until, entry_id))

    def _update(self, account, now, number):
        before_s = account.held_s
        account.keep(now, number)
        self._held_s += account.held_s - before_s

    def _lapse(self, now):
        """Take back what has lapsed; forget entries that are silent."""
        while self._lapses and self._lapses[0][0] <= now:
            _, entry_id = heapq.heappop(self._lapses)
            account = self._accounts_by_entry.get(entry_id)
            if account is None:
                continue
            self._update(account, now, 0)
            if not account.shares:
                self._wanted_s -= account.wanted_s
                del self._accounts_by_entry[entry_id]


class TeamRate:
    """An entry's part of a team's rate: a token bucket on a grant.

    Without a grant that holds it lets nothing through.
    """

    def __init__(self, team, entry_id):
        self._team = team
        self._entry_id = entry_id
        self._grant = None
        self._until = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0
        self._asked = 0

    def demand(self, window_s):
        """Return the `Demand` for the requests since the last one."""
        rate_s = self._asked / window_s
        self._asked = 0
        used = self._grant
        if used is None:
            return Demand(self._team, self._entry_id, rate_s)
        return Demand(
            self._team, self._entry_id, rate_s, used.term, used.number
        )

    def granted(self, grant, asked_at):
        """Take a grant; `asked_at` is when its demand was sent."""
        old = self._grant
        if old and (grant.term, grant.number) <= (old.term, old.number):
            return
        self._grant = grant
        self._until = asked_at + grant.ttl_s

    def rate_s(self, now):
        """Return the rate that holds now, in requests a second."""
        return self._grant.rate_s if now < self._until else 0.0

    def take(self, now):
        """Return None if a request may go on, else seconds to wait."""
        self._asked += 1
        rate_s = self.rate_s(now)
        filled = self._tokens + (now - self._filled_at) * rate_s
        self._tokens = min(filled, max(1.0, rate_s * BURST_S))
        self._filled_at = now
        if rate_s > 0 and self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return (1.0 - self._tokens) / rate_s if rate_s else NO_GRANT_WAIT_S
