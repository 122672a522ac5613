"""Changes between daemons over real sockets, with faults."""

import asyncio

import pytest

from anvilwell_bench.configuration import fleet as fleets
from anvilwell_daemon.configuration import service as configuration
from anvilwell_decisions.configuration import limits
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_standins.base import faults
from anvilwell_standins.keyvalue import server

SERVICE = fleets.SERVICE
BOUNDS = limits.Limits(
    prepare_s=5.0, propose_s=30.0, fence_s=0.6, resolve_s=0.4
)


@pytest.fixture
def keyvalue():
    with server.KeyValue() as started:
        yield started


def run(keyvalue, scenario, entries=2, agents=2, **options):
    options.setdefault("bounds", BOUNDS)

    async def main():
        async with fleets.running(
            keyvalue.address, entries, agents, **options
        ) as fleet:
            daemons = list(fleet.daemons_by_id.values())
            outcome = await propose(daemons[0], 1, "first")
            assert outcome.outcome == "in-force"
            await agree(fleet, 1)
            await scenario(fleet, daemons)

    asyncio.run(main())


async def propose(daemon, number, change_id=None, expected=None):
    return await daemon.configuration.propose(
        SERVICE, fleets.text_of(number), change_id, expected
    )


def generation(daemon):
    """Return the generation served, or the reason why none is."""
    try:
        return daemon.configuration.generation(SERVICE)
    except exceptions.Refused as error:
        return error.reason


async def agree(fleet, expected):
    await fleet.until(
        lambda: all(
            generation(daemon) == expected
            for daemon in fleet.daemons_by_id.values()
            if daemon.configuration.is_ready()
        )
    )


def swap_fault(kind, **options):
    return faults.Fault(kind, "kv/txn", **options)


def test_change_is_in_force_at_all(keyvalue):
    async def scenario(fleet, daemons):
        outcome = await propose(daemons[1], 2)
        assert (outcome.outcome, outcome.generation) == ("in-force", 2)
        await agree(fleet, 2)
        document = daemons[3].configuration.document(SERVICE)
        assert document.traffic.max_queue == 2

    run(keyvalue, scenario)


def test_subscribers_hear_of_each_generation(keyvalue):
    async def scenario(fleet, daemons):
        heard = []
        daemons[2].configuration.subscribe(lambda *news: heard.append(news))
        await propose(daemons[0], 2)
        await fleet.until(lambda: heard == [(SERVICE, 2)])

    run(keyvalue, scenario)


def test_bad_document_names_all_problems(keyvalue):
    async def scenario(fleet, daemons):
        outcome = await daemons[0].configuration.propose(
            SERVICE, "[service]\nname = other\nkind = blue\n"
        )
        assert outcome.outcome == "refused"
        assert outcome.reason == reasons.Refusal.BAD_DOCUMENT
        assert any("kind" in problem for problem in outcome.problems)
        await agree(fleet, 1)

    run(keyvalue, scenario)


def test_lost_answer_is_found_in_the_history(keyvalue):
    async def scenario(fleet, daemons):
        keyvalue.faults.add(swap_fault("lost-after-effect"))
        outcome = await propose(daemons[0], 2, "second")
        assert (outcome.outcome, outcome.generation) == ("in-force", 2)
        record = await daemons[0].configuration.record(SERVICE)
        ids = [change.change_id for change in record.history]
        assert ids == ["first", "second"]

    run(keyvalue, scenario)


def test_repeated_change_id_changes_nothing(keyvalue):
    async def scenario(fleet, daemons):
        await propose(daemons[0], 2, "second")
        await propose(daemons[1], 3, "third")
        outcome = await propose(daemons[1], 2, "second")
        assert (outcome.outcome, outcome.generation) == ("in-force", 2)
        await agree(fleet, 3)

    run(keyvalue, scenario)


def test_racing_operators_land_one_after_the_other(keyvalue):
    async def scenario(fleet, daemons):
        found = await asyncio.gather(
            propose(daemons[0], 2, "second"), propose(daemons[1], 3, "third")
        )
        assert [one.outcome for one in found] == ["in-force"] * 2
        assert sorted(one.generation for one in found) == [2, 3]
        await agree(fleet, 3)

    run(keyvalue, scenario)


def test_racing_operators_who_expect_a_generation(keyvalue):
    async def scenario(fleet, daemons):
        found = await asyncio.gather(
            propose(daemons[0], 2, "second", 1),
            propose(daemons[1], 3, "third", 1),
        )
        kinds = sorted(one.outcome for one in found)
        assert kinds == ["in-force", "refused"]
        await agree(fleet, 2)

    run(keyvalue, scenario)


def test_outage_between_phases_ends_in_agreement(keyvalue):
    async def scenario(fleet, daemons):
        keyvalue.faults.add(
            swap_fault("lost-before-effect", count=faults.FOREVER),
            faults.Fault("lost-before-effect", "kv/range", 3, faults.FOREVER),
        )
        change = asyncio.create_task(propose(daemons[0], 2, "second"))
        await agree(fleet, reasons.Refusal.CONFIGURATION_UNCERTAIN)
        keyvalue.faults.clear()
        outcome = await change
        expected = 2 if outcome.outcome == "in-force" else 1
        await agree(fleet, expected)

    run(keyvalue, scenario)


def test_service_down_refuses_changes_but_serving_goes_on(keyvalue):
    async def scenario(fleet, daemons):
        keyvalue.go_down(2.0)
        outcome = await propose(daemons[0], 2)
        assert outcome.outcome == "refused"
        assert outcome.reason == reasons.Refusal.KEY_VALUE_UNAVAILABLE
        await agree(fleet, 1)

    run(keyvalue, scenario)


def test_crashed_member_is_left_out(keyvalue):
    async def scenario(fleet, daemons):
        await daemons[3].crash()
        del fleet.daemons_by_id[daemons[3].vm_id]
        outcome = await propose(daemons[0], 2)
        assert (outcome.outcome, outcome.generation) == ("in-force", 2)
        await agree(fleet, 2)

    run(keyvalue, scenario)


def test_silent_member_makes_it_refused_by_name(keyvalue):
    async def scenario(fleet, daemons):
        silent = daemons[5]

        async def keep_silent(vm_id, message):
            await asyncio.Event().wait()

        for kind in list(silent.peers.registry._handlers_by_kind):
            silent.peers.on(kind, keep_silent)
        outcome = await propose(daemons[0], 2)
        assert outcome.outcome == "refused"
        assert outcome.reason == reasons.Refusal.MEMBERS_MISSING
        assert outcome.missing == [silent.vm_id]
        await agree(fleet, 1)

    bounds = BOUNDS._replace(prepare_s=2.0)
    run(keyvalue, scenario, agents=6, domains=1, bounds=bounds)


def test_dead_proposer_leaves_all_on_one_document(keyvalue):
    async def scenario(fleet, daemons):
        keyvalue.faults.add(
            swap_fault("lost-before-effect", count=faults.FOREVER)
        )
        change = asyncio.create_task(propose(daemons[0], 2))
        others = daemons[1:]
        await fleet.until(
            lambda: all(d.configuration._member.pending() for d in others)
        )
        await daemons[0].crash()
        change.cancel()
        del fleet.daemons_by_id[daemons[0].vm_id]
        keyvalue.faults.clear()
        await fleet.until(
            lambda: not any(d.configuration._member.pending() for d in others)
        )
        outcome = await propose(daemons[1], 3)
        assert outcome.outcome == "in-force"
        await agree(fleet, outcome.generation)

    run(keyvalue, scenario)


def test_start_during_an_outage_takes_the_document_of_a_sponsor(keyvalue):
    async def scenario(fleet, daemons):
        keyvalue.faults.add(
            faults.Fault("lost-before-effect", "/v3/", 0, faults.FOREVER)
        )
        late = await fleet.add("vm-late", "domain-0", "agent")
        membership = late.configuration._member.membership
        await fleet.until(lambda: generation(late) == 1)
        assert not membership.is_listed
        keyvalue.faults.clear()
        await fleet.until(lambda: membership.is_listed)
        outcome = await propose(daemons[0], 2)
        assert outcome.outcome == "in-force"
        await agree(fleet, 2)

    run(keyvalue, scenario, bounds=BOUNDS._replace(sponsor_s=20.0))


def test_older_data_of_the_service_is_never_applied(keyvalue):
    async def scenario(fleet, daemons):
        await propose(daemons[0], 2)
        await agree(fleet, 2)
        keyvalue.immediate_by_kind["roll-back"](
            faults.Fault("roll-back", amount=1)
        )
        late = await fleet.add("vm-late", "domain-0", "agent")
        await fleet.joined()
        assert generation(late) == 2
        outcome = await propose(daemons[0], 3)
        assert (outcome.outcome, outcome.generation) == ("in-force", 3)
        await agree(fleet, 3)

    run(keyvalue, scenario)


def test_draining_daemon_still_names_its_generation(keyvalue):
    async def scenario(fleet, daemons):
        await daemons[1].configuration.drain()
        assert generation(daemons[1]) is reasons.Refusal.DRAINING
        assert daemons[1].configuration.newest_generation(SERVICE) == 1

    run(keyvalue, scenario)


def test_daemon_that_has_not_started_names_generation_none():
    waiting = configuration.Configuration("entry", "", "kamnik-hall")
    assert waiting.newest_generation(SERVICE) == 0
