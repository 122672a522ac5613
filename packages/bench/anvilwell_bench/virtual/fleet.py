"""Entries and agents around the real decisions, in virtual time."""

import itertools
import typing

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import engine as engines
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import retries
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

CONNECT_FAULT = "connect"
LINK_LAG = drivers.Lag(0.0005, 0.0015)


class Asked(typing.NamedTuple):
    """One request of a caller, with its true size."""

    facts: facts.RequestFacts
    deadline: float
    tokens: int
    prefix_tokens: int


class Answer(typing.NamedTuple):
    """What a caller is told; ``reason`` is None for a whole answer."""

    request_id: str
    reason: reasons.Refusal | None
    verdict: verdicts.Verdict
    retry_after_s: float = 0.0


class Agent:
    """Admission in front of one fake engine."""

    def __init__(self, driver, engine, failure_domain, gate):
        self.engine = engine
        self.replica_id = engine.engine_id
        self.failure_domain = failure_domain
        self.gate = gate
        self._driver = driver
        self._asked_by_id = {}
        self._started_by_id = {}
        self._replies_by_id = {}
        self._own_by_entry = {}
        self._entries_by_id = {}

    def offer(self, asked, entry_id, reply):
        """Take one attempt; ``reply(answer)`` is called at its end."""
        ticket_id = asked.facts.request_id
        self._asked_by_id[ticket_id] = asked
        self._replies_by_id[ticket_id] = reply
        self._entries_by_id[ticket_id] = entry_id
        self._own_by_entry[entry_id] = self._own_by_entry.get(entry_id, 0) + 1
        ticket = admission.Ticket(
            ticket_id, asked.facts.priority, asked.deadline
        )
        self._carry_out([self.gate.offer(ticket, self._driver.now)])

    def expire(self):
        """Let admission refuse what is late."""
        self._carry_out(self.gate.expire(self._driver.now))

    def poll(self, lag):
        """Read the engine's own load, which arrives after a lag."""
        self._driver.send(
            "polls",
            lag,
            self.gate.record_server_load,
            self.engine.running,
            self.engine.waiting,
        )

    def report_for(self, entry_id):
        """Return the load as this agent sees it now."""
        return facts.LoadReport(
            self.replica_id,
            self.gate.in_flight + self.gate.queued,
            self._own_by_entry.get(entry_id, 0),
            self.gate.limit,
        )

    def _carry_out(self, actions):
        for action in actions:
            if isinstance(action, admission.Admit):
                self._start(action.ticket_id)
            elif isinstance(action, admission.Refuse):
                answer = Answer(
                    action.ticket_id,
                    action.reason,
                    verdicts.Verdict.NOT_RUN,
                    action.retry_after_s,
                )
                self._reply(answer)

    def _start(self, ticket_id):
        asked = self._asked_by_id[ticket_id]
        self._started_by_id[ticket_id] = self._driver.now
        work = engines.Work(
            ticket_id,
            asked.tokens,
            self._ended,
            asked.facts.prefix,
            asked.prefix_tokens,
        )
        self.engine.start(work)

    def _ended(self, ticket_id, tokens, whole):
        now = self._driver.now
        started = self._started_by_id.pop(ticket_id)
        if whole:
            actions = self.gate.finished(ticket_id, now, now - started, tokens)
            answer = Answer(ticket_id, None, verdicts.Verdict.RAN)
        else:
            actions = self.gate.failed(ticket_id, now)
            answer = Answer(
                ticket_id,
                reasons.Refusal.BACKEND_FAILED,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        self._reply(answer)
        self._carry_out(actions)

    def _reply(self, answer):
        entry_id = self._entries_by_id.pop(answer.request_id)
        self._own_by_entry[entry_id] -= 1
        del self._asked_by_id[answer.request_id]
        reply = self._replies_by_id.pop(answer.request_id)
        self._driver.send("link", LINK_LAG, reply, answer)


class Entry:
    """Routing and retries at one entry."""

    def __init__(self, driver, entry_id, policy, deciding, agents_by_id):
        self.entry_id = entry_id
        self.policy = policy
        self.first_attempts = 0
        self.attempts = 0
        self._driver = driver
        self._deciding = deciding
        self._agents_by_id = agents_by_id

    def ask(self, asked, on_answer):
        """Dispatch a request; ``on_answer(answer)`` ends it."""
        self.first_attempts += 1
        self._deciding.first_attempt(asked.facts.priority)
        self._attempt(asked, 1, on_answer)

    def report(self, report):
        """Take a late report."""
        self.policy.report(report, self._driver.now)

    def _attempt(self, asked, number, on_answer):
        now = self._driver.now
        replica_id = self.policy.choose(asked.facts, now)
        if replica_id is None:
            on_answer(
                Answer(
                    asked.facts.request_id,
                    reasons.Refusal.NO_REPLICA,
                    verdicts.Verdict.NOT_RUN,
                    1.0,
                )
            )
            return
        self.attempts += 1
        self.policy.started(replica_id, now)
        excluded = asked.facts.excluded | {replica_id}
        following = asked._replace(
            facts=asked.facts._replace(excluded=excluded)
        )

        def _reply(answer):
            self._ended(following, number, replica_id, now, answer, on_answer)

        if self._driver.is_faulty(CONNECT_FAULT, replica_id):
            answer = Answer(
                asked.facts.request_id,
                reasons.Refusal.CONNECT_FAILED,
                verdicts.Verdict.NOT_RUN,
            )
            self._driver.send("link", LINK_LAG, _reply, answer)
            return
        agent = self._agents_by_id[replica_id]
        self._driver.send(
            "link", LINK_LAG, agent.offer, asked, self.entry_id, _reply
        )

    def _ended(self, asked, number, replica_id, started, answer, on_answer):
        now = self._driver.now
        failed = answer.reason in (
            reasons.Refusal.CONNECT_FAILED,
            reasons.Refusal.BACKEND_FAILED,
        )
        ended = facts.AttemptEnd(replica_id, failed, now - started)
        self.policy.ended(ended, now)
        if answer.reason is None:
            on_answer(answer)
            return
        decision = self._deciding.decide(
            retries.FailedAttempt(
                answer.verdict,
                answer.reason,
                asked.facts.idempotent,
                number,
                asked.deadline - now,
                retry_after_s=answer.retry_after_s,
                priority=asked.facts.priority,
            )
        )
        if decision.action is retries.Action.GIVE_UP:
            on_answer(answer)
            return
        self._driver.after(
            decision.delay_s, self._attempt, asked, number + 1, on_answer
        )


class Callers:
    """Live callers: arrivals at a rate, whoever answers."""

    def __init__(self, driver, entries, workload, rate_s, on_answer):
        self._driver = driver
        self._entries = itertools.cycle(entries)
        self._workload = workload
        self._rate_s = rate_s
        self._on_answer = on_answer
        self._rng = driver.rng("live-arrivals")
        if rate_s:
            self._wait()

    def _wait(self):
        self._driver.after(self._rng.expovariate(self._rate_s), self._ask)

    def _ask(self):
        asked = self._workload.live()
        at = self._driver.now

        def _answered(answer):
            self._on_answer(asked, at, answer)

        next(self._entries).ask(asked, _answered)
        self._wait()


class Trainers:
    """Closed loops that keep the engines full of training work."""

    def __init__(self, driver, entries, workload, loops, on_answer):
        self._driver = driver
        self._entries = itertools.cycle(entries)
        self._workload = workload
        self._on_answer = on_answer
        rng = driver.rng("trainers")
        for _ in range(loops):
            driver.after(rng.uniform(0, 1), self._ask)

    def _ask(self):
        asked = self._workload.training()
        at = self._driver.now

        def _answered(answer):
            self._on_answer(asked, at, answer)
            wait_s = answer.retry_after_s if answer.reason else 0.0
            self._driver.after(wait_s + 0.001, self._ask)

        next(self._entries).ask(asked, _answered)
