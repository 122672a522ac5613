"""A graceful shutdown cuts off no request in flight."""

import typing

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_kernel import reasons

_CUT_REASONS = frozenset(
    {
        "",
        reasons.Refusal.ANSWER_CUT,
        reasons.Refusal.CANCELLED,
        reasons.Refusal.DRAINING,
        reasons.Refusal.LINK_LOST,
        reasons.Refusal.CONNECT_FAILED,
        reasons.Refusal.INTERNAL,
    }
)


class _InFlight(typing.NamedTuple):
    ask: dict
    answer: dict
    daemon: str


class GracefulShutdown(promise.Promise):
    """Follows the requests in flight when a daemon got SIGTERM."""

    name = "shutdown"

    def check(self, records):
        """Return a breach for each request cut off and each bad end."""
        return [*self._check_cut(records), *self._check_ended(records)]

    def evidence(self, records):
        """Return how many requests were in flight at a shutdown."""
        return len(_in_flight(records))

    def _check_cut(self, records):
        return [
            self.breach(
                f"in flight when {one.daemon} shut down, ended with "
                f"status {one.answer['status']} "
                f"{one.answer['reason'] or 'and no reason'}",
                one.ask["ask"],
                one.answer["request_id"],
            )
            for one in _in_flight(records)
            if not one.answer["whole"] and one.answer["reason"] in _CUT_REASONS
        ]

    def _check_ended(self, records):
        codes_by_daemon = {
            line["daemon"]: line["code"] for line in records.of("stopped")
        }
        return [
            self.breach(
                f"{line['daemon']} ended with code "
                f"{codes_by_daemon.get(line['daemon'], 'unknown')}",
                line["daemon"],
            )
            for line in records.of("stop")
            if codes_by_daemon.get(line["daemon"]) != 0
        ]


def _in_flight(records):
    answers_by_ask = history.answers_by_ask(records)
    pairs = [
        (ask, answer)
        for ask in records.of("ask")
        for answer in answers_by_ask.get(ask["ask"], ())
    ]
    return [
        _InFlight(ask, answer, stop["daemon"])
        for stop in records.of("stop")
        for ask, answer in pairs
        if ask["at"] < stop["at"] < answer["at"]
        and _passes_through(ask, stop, records)
    ]


def _passes_through(ask, stop, records):
    if ask["entry"] == stop["daemon"]:
        return True
    if not stop["server"]:
        return False
    return any(
        line["who"] == stop["server"] and line["at"] < stop["at"]
        for line in history.runs_of(ask, records)
    )
