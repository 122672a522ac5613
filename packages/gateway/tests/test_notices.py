"""How agents' notices reach the entries that need them."""

import asyncio
import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import needing
from anvilwell_gateway.batches import records
from anvilwell_gateway_standins import telling
import pytest

ENDS = ["no", "killed", "cut", "suspended"]


@pytest.mark.parametrize("ends", ENDS)
@pytest.mark.parametrize("entries", [20, 80])
def test_a_notice_goes_to_those_that_need_it(run_virtual, entries, ends):
    played = telling.play(telling.Named, entries, ends, 20, 12.0)
    named = run_virtual(played)

    # The one that is asked and the one that runs batches.
    assert named.messages <= 4
    # One round trip, or two where the answer had to name it.
    assert named.most_s <= 4.1 * telling.HOP_S


@pytest.mark.parametrize(
    ("way", "messages", "p99_s"),
    [(telling.ToAll, 30, 0.002), (telling.Passed, 30, 0.5)],
)
def test_other_ways_cost_more_or_come_later(run_virtual, way, messages, p99_s):
    counted = run_virtual(telling.play(way, 20, "cut", seconds=12.0))

    assert counted.messages > messages
    assert counted.p99_s >= p99_s


def _claimed(vm_id, life, service):
    owner = records.Owner(vm_id, life, 2, "", 0.0, 1, service)
    return records.Claimed(owner, 1)


def test_homes_and_living_owners_of_a_service_need_its_notices(run_virtual):
    targets = (facts.Weighted("lm", 1.0), facts.Weighted("lm-next", 1.0))
    route = facts.Route("r", "h", "/", targets, True)
    plain = facts.Route("p", "h", "/p", (facts.Weighted("app", 1.0),))
    news = types.SimpleNamespace(
        lives_by_vm={"e1": "l1", "e2": "l2", "e3": "l3"},
        capacities_by_vm={"e1": 1.0, "e2": 0.1, "e3": 0.1},
    )
    known = types.SimpleNamespace(
        claimed_by_id={
            "b1": _claimed("e2", "l2", "lm,lm-next"),
            "b2": _claimed("e3", "before", "lm"),
            "b3": _claimed("e3", "l3", "other"),
        }
    )
    configuration = types.SimpleNamespace(
        current=types.SimpleNamespace(routes=(route, plain))
    )

    async def scenario():
        found = needing.Needing(news, known, configuration)
        before = [found.find(s) for s in ("lm", "lm-next", "app", None)]
        del known.claimed_by_id["b1"]
        await asyncio.sleep(needing.LOOK_S)
        return before, found.find("lm")

    before, after = run_virtual(scenario())

    assert before == [["e1", "e2"], ["e1", "e2"], [], ["e1", "e2", "e3"]]
    assert after == ["e1"]
