"""A non-idempotent request runs at most once."""

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise


class AtMostOnce(promise.Promise):
    """Counts the runs of each non-idempotent request."""

    name = "at-most-once"

    def check(self, records):
        """Return a breach for each request that ran more than once."""
        found = (
            self._check_ask(ask, history.runs_of(ask, records))
            for ask in _first_asks(records)
        )
        return [breach for breach in found if breach]

    def evidence(self, records):
        """Return how many non-idempotent requests ran."""
        return sum(
            bool(history.runs_of(ask, records)) for ask in _first_asks(records)
        )

    def _check_ask(self, ask, runs):
        if len(runs) <= 1:
            return None
        servers = ", ".join(line["who"] for line in runs)
        return self.breach(
            f"{ask['method']} {ask['path']} ran {len(runs)} times ({servers})",
            ask["ask"],
            *(line["request_id"] for line in runs),
        )


def _first_asks(records):
    asks = [line for line in records.of("ask") if not line["idempotent"]]
    asks_by_identity = {
        (line["key"] or line["body"]): line for line in reversed(asks)
    }
    return list(asks_by_identity.values())
