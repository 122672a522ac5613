"""A swap whose answer was lost, over a store that fails by script."""

import random

from anvilwell_kernel import clock
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside import certain_swap
from anvilwell_outside.ports import keyvalue as ports
from anvilwell_outside import retry_budget
from anvilwell_standins.base import faults
from anvilwell_standins.keyvalue import server
import pytest

PURPOSE = ports.Purpose.CONFIGURATION
ARGS = {"purpose": PURPOSE, "timeout_s": 20.0}
MINE = b"history: c1"


@pytest.fixture
def standin():
    with server.KeyValue() as started:
        yield started


@pytest.fixture
def store(standin):
    adapter = etcd.Etcd(http_client.HttpClient(standin.address))
    yield adapter
    adapter.close()


def swap_mine(store, expected=0, burst=5, sleep=lambda seconds: None):
    now = clock.SystemClock()
    budget = retry_budget.RetryBudget(0.0, burst, now, random.Random(1))
    return certain_swap.swap_certainly(
        store,
        [ports.Swap("doc", expected, MINE)],
        lambda entry: b"c1" in entry.value,
        purpose=PURPOSE,
        timeout_s=20.0,
        budget=budget,
        clock=now,
        sleep=sleep,
    )


def lose(standin, kind, count=1):
    standin.faults.add(faults.Fault(kind, match="kv/txn", count=count))


def writes(standin):
    return len(standin.record.lines("write"))


def test_lost_answer_after_the_effect_is_read_back(standin, store):
    lose(standin, "lost-after-effect")
    assert swap_mine(store).landed
    assert writes(standin) == 1
    assert standin.counts_by_call()["kv/txn"] == 1


def test_call_lost_before_the_effect_is_repeated(standin, store):
    lose(standin, "lost-before-effect")
    assert swap_mine(store).landed
    assert writes(standin) == 1


def test_both_losses_after_each_other_land_once(standin, store):
    lose(standin, "lost-before-effect")
    lose(standin, "lost-after-effect")
    assert swap_mine(store).landed
    assert writes(standin) == 1


def test_another_write_after_mine_still_tells_that_mine_landed(standin, store):
    def overwrite(seconds):
        entry = store.get("doc", **ARGS)
        later = ports.Swap("doc", entry.revision, entry.value + b" c2")
        assert store.swap([later], **ARGS).landed

    lose(standin, "lost-after-effect")
    assert swap_mine(store, sleep=overwrite).landed
    assert store.get("doc", **ARGS).value == b"history: c1 c2"


def test_another_write_instead_of_mine_tells_that_mine_is_lost(standin, store):
    def overtake(seconds):
        assert store.swap([ports.Swap("doc", 0, b"c2")], **ARGS).landed

    lose(standin, "lost-before-effect")
    result = swap_mine(store, sleep=overtake)
    assert not result.landed
    assert result.entries_by_key["doc"].value == b"c2"
    assert writes(standin) == 1


def test_spent_budget_leaves_the_outcome_open(standin, store):
    lose(standin, "lost-after-effect", faults.FOREVER)
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        swap_mine(store, burst=0)
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN


def test_store_that_is_never_reached_is_not_run(standin, store):
    standin.close()
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        swap_mine(store)
    assert caught.value.verdict == verdict.Verdict.NOT_RUN


def test_store_that_goes_down_after_a_lost_answer_may_have_run(standin, store):
    lose(standin, "lost-after-effect")
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        swap_mine(store, sleep=lambda seconds: standin.close())
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN


def test_budget_fills_again_and_waits_are_bounded():
    now = clock.ManualClock()
    budget = retry_budget.RetryBudget(2.0, 1, now, random.Random(1))
    assert budget.take()
    assert not budget.take()
    now.advance(0.5)
    assert budget.take()
    assert all(0 <= budget.wait_s(tries) <= 1.0 for tries in range(1, 40))
