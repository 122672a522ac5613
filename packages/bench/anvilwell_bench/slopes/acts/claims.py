"""Claims of non-idempotent requests, as their keys grow."""

from anvilwell_bench.slopes import act
from anvilwell_decisions.requests import claims
from anvilwell_decisions.requests import records
from anvilwell_kernel.messages import codec
from anvilwell_kernel import verdict as verdicts

SIZES = (100, 200, 400, 800)
_CODEC = codec.Codec((records.Record,))
_OUTCOME = records.RecordedOutcome(200, "application/json", b"x" * 256)


class _Ledger:
    """Carries claims to their outcome with a store that answers."""

    def __init__(self):
        self.tracker = claims.ClaimTracker("entry-1/1")
        self.writes = 0
        self.bytes = 0

    def claim(self, numbers):
        """Claim keys; those after the first wait for its answer."""
        self._carry([a for n in numbers for a in self._ask(n)])

    def settle(self, numbers):
        """Record that the requests of these keys ran."""
        ran = verdicts.Verdict.RAN
        settle = self.tracker.settle
        self._carry(
            [a for n in numbers for a in settle(str(n), ran, _OUTCOME, 0.0)]
        )

    def _ask(self, number):
        key = records.store_key("stops-app", "parents", str(number))
        digest = f"{number:032x}"
        request = claims.ClaimRequest(str(number), key, digest, 1e9)
        return self.tracker.claim(request, 0.0)

    def _carry(self, actions):
        waiting = list(actions)
        while waiting:
            action = waiting.pop()
            if isinstance(action, claims.Write):
                self.writes += 1
                self.bytes += sum(
                    len(_CODEC.encode(swap.record)) for swap in action.swaps
                )
                applied = claims.WriteApplied(self.writes)
                waiting.extend(
                    self.tracker.written(action.write_id, applied, 0.0)
                )


def _together(size):
    ledger = _Ledger()
    ledger.claim(range(size))
    ledger.settle(range(size))
    return ledger


class SingleWrites(act.Act):
    """Writes for keys that come one after the other."""

    name = "claims.apart.writes"
    act = "key-value writes for keys that come apart"
    grows_with = "keys"
    unit = "writes"
    sizes = SIZES

    def measure(self, size):
        """Return the number of writes."""
        ledger = _Ledger()
        for number in range(size):
            ledger.claim([number])
            ledger.settle([number])
        return ledger.writes


class TogetherWrites(act.Act):
    """Writes for keys that come while another write is under way."""

    name = "claims.together.writes"
    act = "key-value writes for keys that come together"
    grows_with = "keys"
    unit = "writes"
    sizes = SIZES

    def measure(self, size):
        """Return the number of writes."""
        return _together(size).writes


class ClaimBytes(act.Act):
    """Bytes written for claims and outcomes of 256 bytes."""

    name = "claims.written"
    act = "bytes written for claims and their outcomes"
    grows_with = "keys"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return the bytes of all records."""
        return _together(size).bytes


class ClaimCpu(act.Act):
    """CPU of the decisions on claims."""

    name = "claims.cpu"
    act = "claim and settle keys that come together"
    grows_with = "keys"
    unit = "us"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for `size` keys."""
        return act.cpu_us(lambda: _together(size), 1)
