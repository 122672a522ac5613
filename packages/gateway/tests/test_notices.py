"""Tests that agents' notices reach the entries that need them."""

import asyncio
import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.batches import notice_subscribers
from anvilwell_gateway.batches import records
from anvilwell_gateway import directory as directories
from anvilwell_gateway import live_keys
from anvilwell_gateway import notices
from anvilwell_gateway_standins import notice_strategies as strategies
import cbor2
import pytest

FAILURES = ["no", "killed", "cut", "suspended"]


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("entries", [20, 80])
def test_a_notice_goes_to_the_entries_that_need_it(
    run_virtual, entries, failure
):
    simulation = strategies.simulate(
        strategies.NamedRecipients, entries, failure, 20, 12.0
    )
    cost = run_virtual(simulation)

    # One request and response each for the entry that is asked for the
    # recipients and for the one that runs batches.
    assert cost.messages <= 4
    # One round trip, or two if the response had to name the recipient.
    assert cost.most_s <= 4.1 * strategies.HOP_S


@pytest.mark.parametrize(
    ("strategy", "messages", "p99_s"),
    [(strategies.Broadcast, 30, 0.002), (strategies.Relayed, 30, 0.5)],
)
def test_other_strategies_cost_more_or_take_longer(
    run_virtual, strategy, messages, p99_s
):
    cost = run_virtual(strategies.simulate(strategy, 20, "cut", seconds=12.0))

    assert cost.messages > messages
    assert cost.p99_s >= p99_s


def _claim(vm_id, incarnation, service):
    owner = records.Owner(vm_id, incarnation, 2, "", 0.0, 1, service)
    return records.Claim(owner, 1)


def test_homes_and_live_owners_of_a_service_need_its_notices(run_virtual):
    targets = (
        facts.WeightedService("lm", 1.0),
        facts.WeightedService("lm-next", 1.0),
    )
    route = facts.Route("r", "h", "/", targets, True)
    plain = facts.Route("p", "h", "/p", (facts.WeightedService("app", 1.0),))
    cluster_state = types.SimpleNamespace(
        incarnations_by_vm={"e1": "l1", "e2": "l2", "e3": "l3"},
        live_by_vm={
            "e1": live_keys.LiveKeyValue("l1", "", "a", 1.0),
            "e2": live_keys.LiveKeyValue("l2", "", "a", 0.1),
            "e3": live_keys.LiveKeyValue("l3", "", "a", 0.1),
        },
    )
    known = types.SimpleNamespace(
        claims_by_id={
            "b1": _claim("e2", "l2", "lm,lm-next"),
            "b2": _claim("e3", "before", "lm"),
            "b3": _claim("e3", "l3", "other"),
        }
    )
    configuration = types.SimpleNamespace(
        current=types.SimpleNamespace(routes=(route, plain))
    )

    async def scenario():
        directory = types.SimpleNamespace(replicas_by_id={})
        homes = all_homes.Homes(cluster_state, directory, known)
        found = notice_subscribers.NoticeSubscribers(
            cluster_state, known, configuration, homes
        )
        before = [found.find(s) for s in ("lm", "lm-next", "app", None)]
        del known.claims_by_id["b1"]
        await asyncio.sleep(notice_subscribers.REFRESH_INTERVAL_S)
        return before, found.find("lm")

    before, after = run_virtual(scenario())

    assert before == [["e1", "e2"], ["e1", "e2"], [], ["e1", "e2", "e3"]]
    assert after == ["e1"]


class _Directory:
    """A directory with two engines of a service."""

    def __init__(self):
        self.replicas_by_id = {}
        self.notices = []
        for name in ("r1", "r2"):
            self.register(name)

    def register(self, name):
        replica = facts.Replica(name, "lm", name, "a", 4)
        self.replicas_by_id[name] = replica

    def listen(self, callback):
        self.changed = callback

    def apply_notice(self, notice):
        self.notices.append(notice)

    def service_at(self, address):
        return "lm"


def test_a_response_has_the_digest_of_the_engines_of_a_service():
    directory = _Directory()
    listener = notices.NoticeHandler(
        directory,
        lambda: {"m": 3},
        types.SimpleNamespace(find=lambda service: ["e1"]),
    )
    notice = notices.Notice("r1", (facts.ModelVersion("m", 4),), ("m",), 1)
    sent = []

    class _Responder:
        async def send(self, status, headers, body):
            sent.append(cbor2.loads(body))

    def ask():
        request = types.SimpleNamespace(body=cbor2.dumps(notice))
        asyncio.run(listener.answer(request, _Responder()))
        return sent[-1]

    assert ask() == [{"m": 3}, ["e1"], notices.digest(["r2", "r1"])]
    assert directory.notices == [notice]
    directory.register("r3")
    directory.changed(directories.DirectoryChange(frozenset({"r3"}), True))
    assert ask()[2] == notices.digest(["r1", "r2", "r3"])
