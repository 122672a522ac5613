"""A team's rate limit holds across entries, even if messages are lost."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from anvilwell_decisions.requests import grants

LIMIT_PER_S = 100.0
ENTRIES = ("e0", "e1", "e2", "e3")


class Rates(stateful.RuleBasedStateMachine):
    """Demands and grants that are lost, late, duplicated or reordered."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.term = 1
        self.issuer = grants.Issuer("t", LIMIT_PER_S, 1, -100.0)
        self.rates = {e: grants.TeamRate("t", e) for e in ENTRIES}
        self.demands = []
        self.answers = []

    @stateful.rule(entry=st.sampled_from(ENTRIES), asked=st.integers(0, 300))
    def demand(self, entry, asked):
        for _ in range(asked):
            self.rates[entry].try_acquire(self.now)
        self.demands.append((self.rates[entry].demand(1.0), self.now))

    @stateful.precondition(lambda self: self.demands)
    @stateful.rule(data=st.data(), fate=st.sampled_from(["keep", "drop"]))
    def deliver_demand(self, data, fate):
        number = data.draw(st.integers(0, len(self.demands) - 1))
        demand, at = self.demands[number]
        if fate == "drop":
            del self.demands[number]
        grant = self.issuer.issue(demand, self.now)
        self.answers.append((grant, at))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(
        data=st.data(), fate=st.sampled_from(["keep", "drop", "lose"])
    )
    def deliver_grant(self, data, fate):
        number = data.draw(st.integers(0, len(self.answers) - 1))
        grant, at = self.answers[number]
        if fate != "keep":
            del self.answers[number]
        if fate != "lose":
            self.rates[grant.entry_id].granted(grant, at)

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 3.0, 7.0)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule()
    def new_issuer(self):
        self.term += 1
        self.issuer = grants.Issuer("t", LIMIT_PER_S, self.term, self.now)

    @stateful.rule(entry=st.sampled_from(ENTRIES))
    def crash(self, entry):
        """Restart an entry.

        A grant is the response to a request of one process, so responses to
        the old process are lost with it.
        """
        self.rates[entry] = grants.TeamRate("t", entry)
        self.demands = [d for d in self.demands if d[0].entry_id != entry]
        self.answers = [a for a in self.answers if a[0].entry_id != entry]

    @stateful.invariant()
    def sum_is_within_the_limit(self):
        total = sum(rate.rate_per_s(self.now) for rate in self.rates.values())
        assert total <= LIMIT_PER_S * (1 + 1e-9)


Rates.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
TestRates = Rates.TestCase


def _rounds(issuer, rates, asked_by_entry, start, rounds):
    for number in range(rounds):
        now = start + number
        for entry, asked in asked_by_entry.items():
            for _ in range(asked):
                rates[entry].try_acquire(now)
            grant = issuer.issue(rates[entry].demand(1.0), now)
            rates[entry].granted(grant, now)
    return {
        entry: rate.rate_per_s(start + rounds) for entry, rate in rates.items()
    }


def test_shares_follow_demand():
    issuer = grants.Issuer("t", LIMIT_PER_S, 1, -100.0)
    rates = {e: grants.TeamRate("t", e) for e in ("a", "b")}
    shares = _rounds(issuer, rates, {"a": 50, "b": 50}, 0.0, 10)
    assert abs(shares["a"] - 50) < 1
    shares = _rounds(issuer, rates, {"a": 90, "b": 10}, 10.0, 20)
    assert abs(shares["a"] - 90) < 1
    assert abs(shares["b"] - 10) < 1


def test_share_of_a_silent_entry_goes_to_the_others():
    issuer = grants.Issuer("t", LIMIT_PER_S, 1, -100.0)
    rates = {e: grants.TeamRate("t", e) for e in ("a", "b")}
    _rounds(issuer, rates, {"a": 50, "b": 50}, 0.0, 5)
    shares = _rounds(issuer, {"a": rates["a"]}, {"a": 50}, 5.0, 10)
    assert shares["a"] == LIMIT_PER_S


def test_a_new_issuer_waits_for_the_old_grants_to_lapse():
    issuer = grants.Issuer("t", LIMIT_PER_S, 2, 0.0)
    assert issuer.issue(grants.Demand("t", "a", 10.0), 6.0).rate_per_s == 0.0
    assert issuer.issue(grants.Demand("t", "a", 10.0), 6.5).rate_per_s > 0.0


def test_numbers_of_an_older_issuer_do_not_count():
    issuer = grants.Issuer("t", LIMIT_PER_S, 2, -100.0)
    rate = grants.TeamRate("t", "a")
    rate.granted(grants.Grant("t", "a", 1, 50, LIMIT_PER_S, 6.0), -7.0)
    given = issuer.issue(rate.demand(1.0), 0.0)
    busy = grants.Demand("t", "b", 1000.0)
    issuer.issue(busy, 0.0)
    issuer.issue(rate.demand(1.0), 0.0)
    other = issuer.issue(busy, 0.0)
    rate.granted(given, 0.0)
    assert rate.rate_per_s(1.0) + other.rate_per_s <= LIMIT_PER_S


def test_a_late_older_grant_is_ignored():
    rate = grants.TeamRate("t", "a")
    rate.granted(grants.Grant("t", "a", 1, 2, 10.0, 6.0), 0.0)
    rate.granted(grants.Grant("t", "a", 1, 1, 90.0, 6.0), 0.0)
    assert rate.rate_per_s(1.0) == 10.0
    rate.granted(grants.Grant("t", "a", 2, 1, 20.0, 6.0), 0.0)
    assert rate.rate_per_s(1.0) == 20.0


def test_a_grant_lapses_counted_from_its_demand():
    rate = grants.TeamRate("t", "a")
    rate.granted(grants.Grant("t", "a", 1, 1, 10.0, 6.0), 3.0)
    assert rate.rate_per_s(8.9) == 10.0
    assert rate.rate_per_s(9.0) == 0.0


def test_bucket_admits_its_rate():
    rate = grants.TeamRate("t", "a")
    assert rate.try_acquire(0.0) > 0
    rate.granted(grants.Grant("t", "a", 1, 1, 10.0, 100.0), 0.0)
    passed = sum(rate.try_acquire(n / 100) is None for n in range(1, 1001))
    assert 95 <= passed <= 111
    assert rate.try_acquire(200.0) == grants.NO_GRANT_WAIT_S
