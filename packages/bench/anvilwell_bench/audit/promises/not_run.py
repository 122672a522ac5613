"""A refusal that says "not run" is true."""

import typing

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_kernel import verdict as verdicts


class _Refusal(typing.NamedTuple):
    ask: dict
    answer: dict


class NotRunTrue(promise.Promise):
    """Looks for runs of requests that were refused as not run."""

    name = "not-run"

    def check(self, records):
        """Return a breach for each refused request that a server ran."""
        found = (
            self._check_refusal(refusal, records)
            for refusal in _refusals(records)
        )
        return [breach for breach in found if breach]

    def evidence(self, records):
        """Return how many refusals said "not run"."""
        return len(_refusals(records))

    def _check_refusal(self, refusal, records):
        ask, answer = refusal
        again = [
            other["at"]
            for other in records.of("ask")
            if _is_same(ask, other) and other["at"] > answer["at"]
        ]
        servers = {
            line["who"]
            for line in history.runs_of(ask, records)
            if line["at"] >= ask["at"]
            and not any(at <= line["at"] for at in again)
        }
        if not servers:
            return None
        return self.breach(
            f"refused as not run ({answer['reason']}), but ran on "
            f"{', '.join(sorted(servers))}",
            ask["ask"],
            answer["request_id"],
        )


def _refusals(records):
    asks_by_name = {line["ask"]: line for line in records.of("ask")}
    return [
        _Refusal(asks_by_name[line["ask"]], line)
        for line in records.of("answer")
        if line["verdict"] == verdicts.Verdict.NOT_RUN
        and line["ask"] in asks_by_name
    ]


def _is_same(ask, other):
    if history.is_model_ask(ask):
        wanted = history.generation_of_ask(ask)
        return history.generation_of_ask(other) == wanted
    if ask["key"]:
        return ask["key"] == other["key"]
    return (ask["path"], ask["body"]) == (other["path"], other["body"])
