"""Live callers: parents and planners, a bounded number at a time."""

import collections
import random
import threading
import time
import typing

from hdrh import histogram

from anvilwell_standins.programs import answers
from anvilwell_standins.programs import asks

_US_PER_S = 1_000_000
_LONGEST_US = 3600 * _US_PER_S
_DIGITS = 3
_LONGEST_PAUSE_S = 5.0


class Plan(typing.NamedTuple):
    """What the callers do; times in seconds."""

    model: str
    plain: str
    callers: int = 4
    seconds: float = 10.0
    asks_each: int = 0
    weights: tuple = (1, 1, 1)
    max_tokens: int = 32
    deadline_s: float = 20.0
    pause_s: float = 0.05
    retries: int = 4
    seed: int = 1
    team: str = ""


class Tally:
    """Latencies and outcomes of all callers."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histograms_by_kind = {
            kind: histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
            for kind in asks.Kind
        }
        self.outcomes = collections.Counter()
        self.wrong = []

    def add(self, kind, ask, answer, latency_s):
        """Count one answer."""
        own = answer.whole and answers.is_own(ask, answer)
        with self._lock:
            if own:
                latency_us = max(1, int(latency_s * _US_PER_S))
                self._histograms_by_kind[kind].record_value(latency_us)
            elif answer.whole:
                self.wrong.append(ask.ask)
            self.outcomes[f"{kind} {_outcome(own, answer)}"] += 1

    def lines(self):
        """Yield the summary, one line a kind and an outcome."""
        for kind, latencies in self._histograms_by_kind.items():
            count = latencies.get_total_count()
            if count:
                p50, p99 = (
                    latencies.get_value_at_percentile(share) / 1000
                    for share in (50, 99)
                )
                yield (
                    f"{kind}: {count} whole, p50 {p50:.1f} ms, "
                    f"p99 {p99:.1f} ms"
                )
        for outcome, count in sorted(self.outcomes.items()):
            yield f"{outcome}: {count}"
        if self.wrong:
            yield f"WRONG ANSWERS: {', '.join(self.wrong)}"


class Callers:
    """Runs the callers, each on a thread, one ask at a time.

    Parameters
    ----------
    plan : Plan
        What to do.
    entries : entries.Entries
        Where to ask.
    record : record.Record
        Gets ``ask`` and ``answer`` lines.
    stopped : threading.Event, optional
        Ends all callers after the asks under way.
    """

    def __init__(self, plan, entries, record, stopped=None):
        self._plan = plan
        self._entries = entries
        self._record = record
        self._stopped = stopped or threading.Event()
        self._deadline = None
        self.tally = Tally()

    def run(self):
        """Run to the end of the plan and return the `Tally`."""
        self._deadline = time.monotonic() + self._plan.seconds
        threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(self._plan.callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.tally

    def _call(self, number):
        plan = self._plan
        rng = random.Random(f"{plan.seed}/{number}")
        who = f"{self._record.who}-{number}"
        maker = asks.AskMaker(who, plan.model, plan.plain, plan.max_tokens)
        done = 0
        while self._goes_on(done):
            kind = rng.choices(list(asks.Kind), plan.weights)[0]
            self._ask_until_whole(kind, maker, rng)
            done += 1
            self._stopped.wait(rng.uniform(0, 2 * plan.pause_s))

    def _goes_on(self, done):
        if self._stopped.is_set() or time.monotonic() >= self._deadline:
            return False
        return not self._plan.asks_each or done < self._plan.asks_each

    def _ask_until_whole(self, kind, maker, rng):
        ask = maker.make(kind, rng)
        for tried in range(self._plan.retries + 1):
            answer = self._ask(kind, ask)
            if answer.whole or self._stopped.is_set():
                return
            pause_s = max(answer.retry_after_s, 0.1 * 2**tried)
            pause_s = rng.uniform(0.5, 1.0) * min(pause_s, _LONGEST_PAUSE_S)
            self._stopped.wait(pause_s)
            ask = maker.again(ask)

    def _ask(self, kind, ask):
        entry = self._entries.take()
        ask = ask._replace(entry=entry.name)
        self._record.add("ask", **ask._asdict())
        headers = {"Anvilwell-Priority": "live"}
        if self._plan.team:
            headers["Anvilwell-Team"] = self._plan.team
        began = time.monotonic()
        answer = answers.send(
            self._entries,
            entry,
            ask,
            deadline_s=self._plan.deadline_s,
            headers=headers,
        )
        latency_s = time.monotonic() - began
        self._record.add(
            "answer",
            ask=ask.ask,
            **answer._asdict(),
            latency_s=round(latency_s, 6),
        )
        self.tally.add(kind, ask, answer, latency_s)
        return answer


def _outcome(own, answer):
    if own:
        return "whole"
    if answer.whole:
        return "wrong"
    if not answer.status:
        return "lost"
    return answer.reason or f"cut, status {answer.status}"
