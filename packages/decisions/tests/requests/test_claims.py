"""Each key is executed at most once, even if writes are lost or delayed."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from anvilwell_decisions.requests import claims
from anvilwell_decisions.requests import records
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

KEYS = ("k0", "k1", "k2")
ENTRIES = ("e0", "e1", "e2")
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY = verdicts.Verdict.MAY_HAVE_RUN


class Store:
    """A linearizable store; delayed writes are also conditional."""

    def __init__(self):
        self.stored_by_key = {}
        self.revision = 0

    def apply(self, swaps):
        clash = any(self._revision(s.key) != s.expected for s in swaps)
        if clash:
            stored = {
                s.key: self.stored_by_key[s.key]
                for s in swaps
                if s.key in self.stored_by_key
            }
            return claims.WriteConflict(stored)
        self.revision += 1
        for swap in swaps:
            self._put(swap)
        return claims.WriteApplied(self.revision)

    def _put(self, swap):
        if swap.record is None:
            self.stored_by_key.pop(swap.key, None)
        else:
            stored = records.StoredRecord(swap.record, self.revision)
            self.stored_by_key[swap.key] = stored

    def _revision(self, key):
        stored = self.stored_by_key.get(key)
        return stored.revision if stored else 0


class Request:
    """The model's record of one request of a caller."""

    def __init__(self, key, digest):
        self.key = key
        self.digest = digest
        self.answers = []
        self.executions = 0


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Entries, a faulty store and a backend server that counts executions."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.incarnations = dict.fromkeys(ENTRIES, 0)
        self.trackers = {}
        for entry in ENTRIES:
            self._boot(entry)
        self.requests = {}
        self.in_flight = []
        self.delayed = []
        self.forwarded = []
        self.numbers = iter(range(10**6))

    def _boot(self, entry):
        self.incarnations[entry] += 1
        owner = f"{entry}/{self.incarnations[entry]}"
        self.trackers[entry] = claims.ClaimTracker(owner)
        for tracker in self.trackers.values():
            tracker.owner_gone(f"{entry}/{self.incarnations[entry] - 1}")
            tracker.owner_alive(owner)

    def _do(self, entry, actions):
        for action in actions:
            if isinstance(action, claims.Write):
                stamp = (entry, self.incarnations[entry])
                self.in_flight.append((stamp, action))
            elif isinstance(action, claims.Forward):
                stamp = (entry, self.incarnations[entry])
                self.forwarded.append((stamp, action.claim_id))
            else:
                self.requests[action.claim_id].answers.append(action)

    def _to_tracker(self, stamp, write_id, result):
        entry, incarnation = stamp
        if self.incarnations[entry] == incarnation:
            actions = self.trackers[entry].written(write_id, result, self.now)
            self._do(entry, actions)

    @stateful.rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(KEYS),
        digest=st.sampled_from(("d", "d", "d", "other")),
        time_left_s=st.sampled_from((1.0, 5.0)),
    )
    def ask(self, entry, key, digest, time_left_s):
        claim_id = f"c{next(self.numbers)}"
        self.requests[claim_id] = Request(key, digest)
        request = claims.ClaimRequest(
            claim_id, key, digest, self.now + time_left_s
        )
        self._do(entry, self.trackers[entry].claim(request, self.now))

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(
        data=st.data(),
        fate=st.sampled_from(("ok", "ok", "answer lost", "delayed", "lost")),
    )
    def write(self, data, fate):
        number = data.draw(st.integers(0, len(self.in_flight) - 1))
        stamp, write = self.in_flight.pop(number)
        result = claims.WriteUnknown()
        if fate in ("ok", "answer lost"):
            result = self.store.apply(write.swaps)
        if fate == "delayed":
            self.delayed.append(write)
        if fate != "ok":
            result = claims.WriteUnknown()
        self._to_tracker(stamp, write.write_id, result)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(data=st.data())
    def apply_delayed(self, data):
        number = data.draw(st.integers(0, len(self.delayed) - 1))
        self.store.apply(self.delayed.pop(number).swaps)

    @stateful.precondition(lambda self: self.forwarded)
    @stateful.rule(
        data=st.data(),
        end=st.sampled_from(("ran", "ran unknown", "not run", "unknown")),
    )
    def execute(self, data, end):
        number = data.draw(st.integers(0, len(self.forwarded) - 1))
        (entry, incarnation), claim_id = self.forwarded.pop(number)
        verdict = {"ran": verdicts.Verdict.RAN, "not run": NOT_RUN}.get(
            end, MAY
        )
        if end in ("ran", "ran unknown"):
            self.requests[claim_id].executions += 1
        if self.incarnations[entry] != incarnation:
            return
        outcome = records.RecordedOutcome(200, "", claim_id.encode())
        actions = self.trackers[entry].settle(
            claim_id, verdict, outcome, self.now
        )
        self._do(entry, actions)

    @stateful.rule(entry=st.sampled_from(ENTRIES))
    def crash(self, entry):
        """Start a new incarnation of an entry, without any state.

        A request that the old incarnation forwarded may still be executed.
        """
        self._boot(entry)

    @stateful.rule(seconds=st.sampled_from((0.5, 2.0, 10.0)))
    def wait(self, seconds):
        self.now += seconds
        for entry, tracker in self.trackers.items():
            self._do(
                entry, [*tracker.expire(self.now), *tracker.flush(self.now)]
            )

    @stateful.invariant()
    def at_most_one_execution_for_a_key(self):
        for key in KEYS:
            ran = sum(
                r.executions for r in self.requests.values() if r.key == key
            )
            assert ran <= 1, key

    @stateful.invariant()
    def not_run_verdict_is_correct(self):
        waiting = {claim_id for _, claim_id in self.forwarded}
        for claim_id, request in self.requests.items():
            for answer in request.answers:
                if getattr(answer, "verdict", None) is NOT_RUN:
                    assert request.executions == 0
                    assert claim_id not in waiting

    @stateful.invariant()
    def each_answer_is_to_the_same_request(self):
        for request in self.requests.values():
            assert len(request.answers) <= 1
            for answer in request.answers:
                if isinstance(answer, claims.Replay):
                    claim_id = answer.outcome.body.decode()
                    source = self.requests[claim_id]
                    assert source.executions == 1
                    assert source.key == request.key
                    assert source.digest == request.digest


AtMostOnce.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestAtMostOnce = AtMostOnce.TestCase


def _ask(tracker, claim_id, key="k", digest="d", now=0.0, forward_by=5.0):
    request = claims.ClaimRequest(claim_id, key, digest, forward_by)
    return tracker.claim(request, now)


def _forwarded(tracker, store, claim_id, **request):
    (write,) = _ask(tracker, claim_id, **request)
    result = store.apply(write.swaps)
    return tracker.written(write.write_id, result, 0.0)


def test_a_recorded_claim_is_forwarded():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    assert _forwarded(tracker, store, "c1") == [claims.Forward("c1")]


def test_unanswered_write_that_was_applied_is_recognised():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    (write,) = _ask(tracker, "c1")
    store.apply(write.swaps)
    (again,) = tracker.written(write.write_id, claims.WriteUnknown(), 1.0)
    result = store.apply(again.swaps)
    actions = tracker.written(again.write_id, result, 1.0)
    assert actions == [claims.Forward("c1")]


def test_claim_abandoned_in_an_outage_is_deleted_afterwards():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    (write,) = _ask(tracker, "c1")
    store.apply(write.swaps)
    reject, again = tracker.written(write.write_id, claims.WriteUnknown(), 6.0)
    assert (reject.verdict, reject.reason) == (
        NOT_RUN,
        reasons.Refusal.KEY_VALUE_UNAVAILABLE,
    )
    result = store.apply(again.swaps)
    (delete,) = tracker.written(again.write_id, result, 6.0)
    assert isinstance(store.apply(delete.swaps), claims.WriteApplied)
    other = claims.ClaimTracker("b/1")
    assert _forwarded(other, store, "c2") == [claims.Forward("c2")]


def test_repeat_at_another_entry_replays_the_outcome():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    _forwarded(tracker, store, "c1")
    outcome = records.RecordedOutcome(201, "text/plain", b"sent")
    (write,) = tracker.settle("c1", verdicts.Verdict.RAN, outcome, 1.0)
    tracker.written(write.write_id, store.apply(write.swaps), 1.0)
    other = claims.ClaimTracker("b/1")
    actions = _forwarded(other, store, "c2")
    assert actions == [claims.Replay("c2", outcome)]


def test_repeat_after_a_crash_may_have_run():
    store = Store()
    _forwarded(claims.ClaimTracker("a/1"), store, "c1")
    other = claims.ClaimTracker("a/2")
    (reject,) = _forwarded(other, store, "c2")
    assert reject.verdict is MAY
    assert reject.reason is reasons.Refusal.OUTCOME_UNKNOWN


def test_repeat_while_the_first_runs_is_in_progress():
    store = Store()
    _forwarded(claims.ClaimTracker("a/1"), store, "c1")
    other = claims.ClaimTracker("b/1")
    other.owner_alive("a/1")
    (reject,) = _forwarded(other, store, "c2")
    assert reject.reason is reasons.Refusal.KEY_IN_PROGRESS


def test_one_key_for_two_requests_is_a_conflict():
    store = Store()
    _forwarded(claims.ClaimTracker("a/1"), store, "c1")
    (reject,) = _forwarded(claims.ClaimTracker("b/1"), store, "c2", digest="x")
    assert reject.reason is reasons.Refusal.CONFLICT
    assert reject.verdict is NOT_RUN


def test_queued_claims_share_one_write():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    (first,) = _ask(tracker, "c0", key="k0")
    for number in range(1, 50):
        assert _ask(tracker, f"c{number}", key=f"k{number}") == []
    result = store.apply(first.swaps)
    forward, second = tracker.written(first.write_id, result, 0.0)
    assert forward == claims.Forward("c0")
    assert len(second.swaps) == 49


def test_not_run_frees_the_key():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    _forwarded(tracker, store, "c1")
    (write,) = tracker.settle("c1", NOT_RUN, None, 1.0)
    tracker.written(write.write_id, store.apply(write.swaps), 1.0)
    assert _forwarded(claims.ClaimTracker("b/1"), store, "c2") == [
        claims.Forward("c2")
    ]


def test_store_keys_of_two_teams_differ():
    rng = random.Random(1)
    keys = {
        records.store_key("s", f"team-{rng.random()}", "k") for _ in range(100)
    }
    assert len(keys) == 100


def test_void_claim_applied_late_is_deleted_on_the_next_repeat():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    (late,) = _ask(tracker, "c1")
    (again,) = tracker.written(late.write_id, claims.WriteUnknown(), 0.0)
    tracker.written(again.write_id, store.apply(again.swaps), 0.0)
    (delete,) = tracker.settle("c1", NOT_RUN, None, 1.0)
    tracker.written(delete.write_id, store.apply(delete.swaps), 1.0)
    assert isinstance(store.apply(late.swaps), claims.WriteApplied)
    (ask,) = _ask(tracker, "c2")
    (free,) = tracker.written(ask.write_id, store.apply(ask.swaps), 1.0)
    (claim,) = tracker.written(free.write_id, store.apply(free.swaps), 1.0)
    actions = tracker.written(claim.write_id, store.apply(claim.swaps), 1.0)
    assert actions == [claims.Forward("c2")]


def test_a_claim_that_is_recorded_too_late_is_not_forwarded():
    tracker, store = claims.ClaimTracker("a/1"), Store()
    (write,) = _ask(tracker, "c1", forward_by=5.0)
    result = store.apply(write.swaps)
    reject, delete = tracker.written(write.write_id, result, 5.0)
    assert reject.verdict is NOT_RUN
    assert [swap.record for swap in delete.swaps] == [None]
