"""One seeded run: a workload, a fleet with its variant, the figures."""

import itertools
import random
import typing

from hdrh import histogram

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import engine as engines
from anvilwell_bench.virtual import fleet
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import limits
from anvilwell_decisions.requests import retries
from anvilwell_decisions.requests import routing

DOMAINS = 3
ENTRIES = 3
WARM_UP_S = 20.0
LIVE_TOKENS = 64
LIVE_DEADLINE_S = 6.0
TRAINING_TOKENS = 200
TRAINING_DEADLINE_S = 120.0
PREFIXES = 600
PREFIX_TOKENS = 600
ENGINE = engines.EngineModel(
    base_step_s=0.02,
    per_stream_step_s=0.0001,
    max_batch=32,
    prefill_share=0.02,
    cached_prefixes=150,
)
UNLIMITED = limits.LimitBounds(initial=10**6, lowest=10**6, highest=10**6)
ENGINE_BATCH = limits.LimitBounds(initial=32, lowest=32, highest=32)
_US = 1e6
_LONGEST_US = 600 * 10**6


class Variant(typing.NamedTuple):
    """What an entry and an agent do; the defaults are the product's."""

    name: str
    policy: type = routing.PrefixAffinity
    bounds: limits.LimitBounds = limits.LimitBounds()
    live_reserve: float = 0.2
    max_queue: int = 64
    has_priorities: bool = True
    refuses_early: bool = True
    has_ejection: bool = True
    slow_start_s: float = 5.0
    retry_share: float = 0.1
    corrects_reports: bool = True
    has_engine_reports: bool = True


class Conditions(typing.NamedTuple):
    """What a run meets; ``load`` is in parts of live capacity."""

    seed: int = 1
    load: float = 1.0
    report_lag_s: float = 0.5
    replicas: int = 6
    training_loops: int = 400
    faults: tuple = ()
    duration_s: float = 60.0


class Figures(typing.NamedTuple):
    """What one run measured, after its warm-up."""

    live_offered: int
    live_on_time: int
    live_p50_s: float
    live_p99_s: float
    training_tokens_s: float
    cache_share: float
    amplification: float
    refusals_by_reason: dict
    goodput_s: float

    @property
    def on_time_share(self):
        """On-time answers, as a share of the live requests asked."""
        return self.live_on_time / max(1, self.live_offered)


def capacity_s(replicas, model=ENGINE):
    """Return the live requests a second that full engines can do.

    Batches are full, half of the prefixes are cached.
    """
    step_s = model.base_step_s + model.max_batch * model.per_stream_step_s
    tokens = LIVE_TOKENS + PREFIX_TOKENS * model.prefill_share / 2
    return replicas * model.max_batch / step_s / tokens


class Workload:
    """Draws requests; sizes have long tails, prefixes are skewed."""

    def __init__(self, driver, variant):
        self._driver = driver
        self._rng = driver.rng("workload")
        self._numbers = itertools.count(1)
        self._variant = variant
        self._weights = list(
            itertools.accumulate(1 / n for n in range(1, PREFIXES + 1))
        )
        self._prefixes = [f"prefix-{n}" for n in range(PREFIXES)]

    def live(self):
        """Return a live request."""
        (prefix,) = self._rng.choices(
            self._prefixes, cum_weights=self._weights
        )
        tokens = self._tokens(LIVE_TOKENS, 0.5)
        return self._asked(
            facts.Priority.LIVE, tokens, LIVE_DEADLINE_S, prefix
        )

    def training(self):
        """Return a training sample's request, a few very long."""
        tokens = self._tokens(TRAINING_TOKENS, 0.8)
        return self._asked(
            facts.Priority.TRAINING, tokens, TRAINING_DEADLINE_S, ""
        )

    def _tokens(self, mean, sigma):
        factor = self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        return max(1, int(mean * factor))

    def _asked(self, priority, tokens, deadline_s, prefix):
        if not self._variant.has_priorities:
            priority = facts.Priority.LIVE
        request = facts.RequestFacts(
            f"q{next(self._numbers)}", priority=priority, prefix=prefix
        )
        prefix_tokens = PREFIX_TOKENS if prefix else 0
        deadline = self._driver.now + deadline_s
        return fleet.Asked(request, deadline, tokens, prefix_tokens)


class Recorder:
    """Counts what callers and trainers were told after the warm-up."""

    def __init__(self, driver):
        self._driver = driver
        self._latencies = histogram.HdrHistogram(1, _LONGEST_US, 3)
        self.live_offered = 0
        self.live_on_time = 0
        self.training_tokens = 0
        self.refusals_by_reason = {}

    def live(self, asked, at, answer):
        """Count the answer to a live request asked at `at`."""
        if at < WARM_UP_S:
            return
        self.live_offered += 1
        if answer.reason is not None:
            name = str(answer.reason)
            count = self.refusals_by_reason.get(name, 0)
            self.refusals_by_reason[name] = count + 1
            return
        self._latencies.record_value(int((self._driver.now - at) * _US))
        self.live_on_time += self._driver.now <= asked.deadline

    def training(self, asked, at, answer):
        """Count the answer to a training request."""
        if answer.reason is None and self._driver.now >= WARM_UP_S:
            self.training_tokens += asked.tokens

    def quantile_s(self, percent):
        """Return a percentile of the whole live answers' latency."""
        return self._latencies.get_value_at_percentile(percent) / _US


def run(variant, conditions):
    """Return the `Figures` of one run."""
    driver = drivers.Driver(conditions.seed, conditions.faults)
    agents_by_id = _agents(driver, variant, conditions)
    entries = [
        _entry(driver, variant, f"entry-{n}", agents_by_id)
        for n in range(ENTRIES)
    ]
    _send_reports(driver, entries, agents_by_id, conditions.report_lag_s)
    workload = Workload(driver, variant)
    recorder = Recorder(driver)
    rate_s = conditions.load * capacity_s(conditions.replicas)
    fleet.Callers(driver, entries, workload, rate_s, recorder.live)
    fleet.Trainers(
        driver,
        entries,
        workload,
        conditions.training_loops,
        recorder.training,
    )
    driver.run(WARM_UP_S + conditions.duration_s)
    return _figures(recorder, entries, agents_by_id, conditions)


def _agents(driver, variant, conditions):
    settings = admission.AdmissionSettings(
        max_queue=variant.max_queue,
        live_reserve=variant.live_reserve,
        bounds=variant.bounds,
    )
    agents_by_id = {}
    for number in range(conditions.replicas):
        replica_id = f"replica-{number}"
        engine = engines.FakeEngine(driver, replica_id, ENGINE)
        gate = _gate(settings, variant)
        domain = f"domain-{number % DOMAINS}"
        agent = fleet.Agent(driver, engine, domain, gate)
        driver.every(0.05, agent.expire)
        if variant.has_engine_reports:
            lag_s = conditions.report_lag_s
            driver.every(0.5, agent.poll, drivers.Lag(lag_s, lag_s))
        agents_by_id[replica_id] = agent
    return agents_by_id


class _LateRefusals(admission.Admission):
    """Admission that finds out at the deadline only; for ablation."""

    def _expected_s(self, ticket):
        return 0.0

    def _can_meet(self, ticket, now, wait_s):
        return now <= ticket.deadline


class _UncorrectedReports(routing.PrefixAffinity):
    """Reports count as they come, own work is left out; for ablation."""

    def _cost(self, replica_id, now):
        return self._loads.reported(replica_id)


def _gate(settings, variant):
    kind = admission.Admission if variant.refuses_early else _LateRefusals
    return kind(settings)


def _entry(driver, variant, entry_id, agents_by_id):
    rng = random.Random(f"{entry_id}/{driver.rng(entry_id).random()}")
    policy = _policy(variant, rng)
    for agent in agents_by_id.values():
        replica = facts.ReplicaFacts(agent.replica_id, agent.failure_domain)
        policy.replica_up(replica, driver.now)
    settings = retries.RetrySettings(share=variant.retry_share)
    deciding = retries.Retries(rng, settings)
    return fleet.Entry(driver, entry_id, policy, deciding, agents_by_id)


def _policy(variant, rng):
    kind = variant.policy
    if not variant.corrects_reports:
        kind = _UncorrectedReports
    takes_slow_start = issubclass(kind, routing.PowerOfTwo)
    options = (
        {"slow_start_s": variant.slow_start_s} if takes_slow_start else {}
    )
    policy = kind(rng, **options)
    if variant.has_ejection:
        policy = ejection.OutlierEjection(rng, policy)
    return policy


def _send_reports(driver, entries, agents_by_id, lag_s):
    lag = drivers.Lag(lag_s, lag_s)

    def _send():
        for agent, entry in itertools.product(agents_by_id.values(), entries):
            report = agent.report_for(entry.entry_id)
            driver.send("reports", lag, entry.report, report)

    driver.every(0.25, _send)


def _figures(recorder, entries, agents_by_id, conditions):
    hits = sum(agent.engine.hits for agent in agents_by_id.values())
    misses = sum(agent.engine.misses for agent in agents_by_id.values())
    attempts = sum(entry.attempts for entry in entries)
    first = sum(entry.first_attempts for entry in entries)
    return Figures(
        recorder.live_offered,
        recorder.live_on_time,
        recorder.quantile_s(50),
        recorder.quantile_s(99),
        recorder.training_tokens / conditions.duration_s,
        hits / max(1, hits + misses),
        attempts / max(1, first),
        dict(sorted(recorder.refusals_by_reason.items())),
        recorder.live_on_time / conditions.duration_s,
    )
