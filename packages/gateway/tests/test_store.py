"""Tests that a write is applied at most once if calls are lost or late."""

import asyncio
import enum

import hypothesis
from hypothesis import strategies as st
import pytest

from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue

KEY = "owner/b1"
TIMEOUT_S = 5.0
REFUSAL_TIMEOUT_S = 1.2
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Fate(enum.Enum):
    """What happens to one call."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer-lost"
    NEVER_ARRIVES = "never-arrives"
    ARRIVES_LATE = "arrives-late"


class FakeStore:
    """A store with one key and a script of the fate of each call."""

    def __init__(self, fates=(), late_s=2.0):
        self._fates = list(fates)
        self._late_s = late_s
        self.entry = None
        self.applied = []

    async def swap(self, swaps):
        fate = self._fates.pop(0) if self._fates else Fate.ANSWERED
        if fate is Fate.REFUSED:
            raise exceptions.KeyValueUnavailable("busy", verdict=NOT_RUN)
        if fate is Fate.ANSWERED:
            return self._apply(swaps[0])
        if fate is Fate.ANSWER_LOST:
            self._apply(swaps[0])
        if fate is Fate.ARRIVES_LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self._late_s, self._apply, swaps[0])
        raise exceptions.KeyValueUnavailable("lost", verdict=MAY_HAVE_RUN)

    def _apply(self, swap):
        revision = self.entry.revision if self.entry else 0
        if swap.expected != revision:
            found = {KEY: self.entry} if self.entry else {}
            return keyvalue.SwapResult(False, 0, found)
        self.entry = keyvalue.Entry(KEY, swap.value, revision + 1)
        self.applied.append(swap.value)
        return keyvalue.SwapResult(True, revision + 1, {})


async def _write(store, value=b"mine", refusal_timeout_s=REFUSAL_TIMEOUT_S):
    """Return the value that is stored, or the verdict of a failure."""
    swap = keyvalue.Swap(KEY, 0, value)
    try:
        result = await stores.swap_until_known(
            store, [swap], TIMEOUT_S, refusal_timeout_s
        )
    except exceptions.KeyValueUnavailable as error:
        return error.verdict
    return value if result.landed else result.entries_by_key[KEY].value


@pytest.mark.parametrize(
    "fates",
    [
        [],
        [Fate.ANSWER_LOST],
        [Fate.NEVER_ARRIVES],
        [Fate.NEVER_ARRIVES, Fate.ANSWER_LOST],
        [Fate.REFUSED, Fate.ANSWER_LOST, Fate.REFUSED],
        [Fate.ARRIVES_LATE],
    ],
)
def test_a_write_is_applied_once_despite_lost_calls(fates, run_virtual):
    store = FakeStore(fates)

    async def scenario():
        outcome = await _write(store)
        # A call that arrives late finds the key already written.
        await asyncio.sleep(TIMEOUT_S)
        return outcome

    assert run_virtual(scenario()) == b"mine"
    assert store.applied == [b"mine"]


def test_a_write_by_another_process_is_reported(run_virtual):
    store = FakeStore([Fate.NEVER_ARRIVES])
    store._apply(keyvalue.Swap(KEY, 0, b"theirs"))
    assert run_virtual(_write(store)) == b"theirs"


def test_only_refused_attempts_give_the_verdict_not_run(run_virtual):
    store = FakeStore([Fate.REFUSED] * 100)

    async def scenario():
        outcome = await _write(store)
        return outcome, asyncio.get_running_loop().time()

    outcome, took_s = run_virtual(scenario())
    assert outcome is NOT_RUN
    assert took_s <= REFUSAL_TIMEOUT_S
    assert store.entry is None


@pytest.mark.parametrize(
    "unknown", [Fate.ANSWER_LOST, Fate.NEVER_ARRIVES, Fate.ARRIVES_LATE]
)
def test_one_unknown_attempt_rules_out_the_verdict_not_run(
    unknown, run_virtual
):
    store = FakeStore([Fate.REFUSED, unknown, *[Fate.REFUSED] * 100])

    async def scenario():
        outcome = await _write(store)
        return outcome, asyncio.get_running_loop().time()

    outcome, took_s = run_virtual(scenario())
    assert outcome is MAY_HAVE_RUN
    # If the outcome is unknown, attempts continue beyond the timeout for
    # refused ones.
    assert REFUSAL_TIMEOUT_S < took_s <= TIMEOUT_S


@hypothesis.given(
    fates=st.lists(st.sampled_from(Fate), max_size=60),
    late_s=st.floats(0.01, 20.0),
    gap_s=st.floats(0.0, 3.0),
)
def test_at_most_one_of_two_entries_writes_the_owner_of_a_batch(
    fates, late_s, gap_s, run_virtual
):
    """A trainer without an answer sends its batch to another entry.

    Whatever happens to the calls, at most one value is written, every reported
    owner is that value, and a write with the verdict ``NOT_RUN`` is never
    applied.
    """
    store = FakeStore(fates, late_s)

    async def scenario():
        first = asyncio.create_task(_write(store, b"first"))
        await asyncio.sleep(gap_s)
        second = asyncio.create_task(_write(store, b"second"))
        outcomes = await asyncio.gather(first, second)
        await asyncio.sleep(2 * late_s)
        return outcomes

    outcomes = run_virtual(scenario())
    assert len(store.applied) <= 1
    reported = {one for one in outcomes if isinstance(one, bytes)}
    assert reported <= set(store.applied)
    for value, outcome in zip((b"first", b"second"), outcomes, strict=True):
        assert outcome is not NOT_RUN or value not in store.applied
