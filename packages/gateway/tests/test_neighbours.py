"""Tests followers that receive changes from a neighbour, under failures."""

import asyncio

from anvilwell_gateway import directory
from anvilwell_gateway import feeds
from anvilwell_gateway import freshness
from anvilwell_gateway import neighbours
from anvilwell_gateway import prefix_follower
from anvilwell_gateway import read_retries
from anvilwell_gateway_standins import follower_world as worlds
from anvilwell_outside.ports import keyvalue
import hypothesis
from hypothesis import strategies as st
import pytest


ONE_DOMAIN = worlds.ONE_DOMAIN
# Time within which a change must arrive at all processes, in seconds.
BOUND_S = 2.0


def _newest(world):
    return {p.follower.newest for p in world.alive}


def test_one_process_a_failure_domain_watches_the_store(run_scenario):
    async def scenario(world):
        world.store.calls.clear()
        for value in range(2, 12):
            world.store.write(value)
            await asyncio.sleep(1.0)
        return world.watchers(), world.store.calls, _newest(world)

    domains = ONE_DOMAIN | dict.fromkeys(["f1", "f2", "f3"], "b")
    watchers, calls, newest = run_scenario(scenario, domains)

    assert [domains[name] for name in watchers] == ["a", "b"]
    assert {name for name, _ in calls} == set(watchers)
    # Two followers in each of two watchers, with one watch for each change.
    assert len(calls) <= 44
    assert newest == {11}


def test_a_change_is_received_at_once(run_scenario):
    async def scenario(world):
        world.store.write(2)
        await asyncio.sleep(0.1)
        return _newest(world)

    assert run_scenario(scenario) == {2}


def test_a_key_that_was_read_beside_the_watch_reaches_neighbours(run_scenario):
    """Guards against neighbours that keep an old configuration for good.

    An entry that took a batch over read the configuration while it did not
    watch. Its next watch returned a change that it knew, which its feed never
    got.
    """

    async def scenario(world):
        (watcher,) = world.watchers()
        world.store.write(2)
        # The watch has returned, and the next one begins a little later.
        await asyncio.sleep(0.1)
        world.store.write(3)
        follower = world.processes_by_name[watcher].follower
        follower.load({worlds.KEY: await follower.read_newest(worlds.KEY)})
        await asyncio.sleep(BOUND_S)
        return _newest(world)

    assert run_scenario(scenario) == {3}


def test_a_feed_has_each_change_up_to_its_revision():
    """Guards against a feed that moves past a change that it lacks."""
    feed = feeds.Feed()
    first = keyvalue.Entry("a", b"1", 5)
    feed.reset(keyvalue.Snapshot({"a": first}, 5))
    changes = [
        keyvalue.Change("a", b"1", 5),
        keyvalue.Change("b", b"2", 6),
        keyvalue.Change("a", None, 7),
    ]
    feed.add(changes, 7)
    feed.add(changes[:2], 7)
    assert feed.read_since(5).changes == tuple(changes[1:])
    assert [entry.key for entry in feed.read_since(None).entries] == ["b"]


async def _write_and_wait(world):
    world.store.write(2)
    await asyncio.sleep(BOUND_S)
    return _newest(world)


def test_a_change_arrives_in_time_if_the_neighbour_dies(run_scenario):
    async def scenario(world):
        (watcher,) = world.watchers()
        await world.processes_by_name[watcher].stop()
        return await _write_and_wait(world)

    assert run_scenario(scenario) == {2}


def test_a_change_arrives_in_time_if_the_neighbour_falls_silent(run_scenario):
    async def scenario(world):
        (watcher,) = world.watchers()
        world.silent.add(watcher)
        newest = await _write_and_wait(world)
        return newest, watcher in world.watchers()

    assert run_scenario(scenario) == ({2}, True)


def test_a_change_arrives_in_time_if_the_neighbour_loses_the_store(
    run_scenario,
):
    async def scenario(world):
        (watcher,) = world.watchers()
        cut = world.processes_by_name[watcher]
        cut.connection.cut()
        world.store.write(2)
        await asyncio.sleep(BOUND_S)
        others = [p for p in world.alive if p is not cut]
        return {p.follower.newest for p in others}

    assert run_scenario(scenario) == {2}


async def _write_as_the_watch_sleeps(world, disturb, wait_s=0.0):
    """Write twice, and disturb the watcher `wait_s` after the second write.

    The watch has returned the first number, and the next one begins once the
    follower has collected changes. Returns what the others have in time.
    """
    (watcher,) = world.watchers()
    disturbed = world.processes_by_name[watcher]
    world.store.write(2)
    await asyncio.sleep(0.02)
    world.store.write(3)
    await asyncio.sleep(wait_s)
    disturb(disturbed.connection)
    await asyncio.sleep(BOUND_S - wait_s)
    return {p.follower.newest for p in world.alive if p is not disturbed}


@pytest.mark.parametrize("tenths", range(13))
@pytest.mark.parametrize(
    "coalesce_s", [prefix_follower.COALESCE_S, directory.COALESCE_S]
)
def test_a_change_arrives_in_time_if_the_watcher_is_cut_off_meanwhile(
    run_scenario, coalesce_s, tenths
):
    """Guards against requests that reach a draining replica too late.

    The watcher had renewed its lease and collected changes as it was cut off,
    and confirmed for longer than that that there was nothing new.
    """

    async def scenario(world):
        return await _write_as_the_watch_sleeps(
            world, lambda connection: connection.cut(), tenths / 10
        )

    assert run_scenario(scenario, coalesce_s=coalesce_s) == {3}


@pytest.mark.parametrize(
    "coalesce_s", [prefix_follower.COALESCE_S, directory.COALESCE_S]
)
def test_a_change_arrives_in_time_if_the_watch_is_refused(
    run_scenario, coalesce_s
):
    """Guards against an old configuration while renewals are answered."""

    def refuse(connection):
        connection.is_refusing = True

    async def scenario(world):
        return await _write_as_the_watch_sleeps(world, refuse)

    assert run_scenario(scenario, coalesce_s=coalesce_s) == {3}


def test_the_watcher_learns_of_a_change_soon_after_it_was_refused(
    run_scenario,
):
    """Guards against waits that double while the store answers other calls."""

    async def scenario(world):
        (watcher,) = world.watchers()
        connection = world.processes_by_name[watcher].connection
        connection.is_refusing = True
        world.store.forget()
        await asyncio.sleep(8.0)
        connection.is_refusing = False
        world.store.write(2)
        await asyncio.sleep(2 * read_retries.REFUSED_WAIT_S)
        return world.processes_by_name[watcher].follower.newest

    assert run_scenario(scenario) == 2


def test_changes_of_replicas_cost_one_renewal_more_each(run_scenario):
    """Guards against a check of the store for each call to it."""

    async def scenario(world):
        (watcher,) = world.watchers()
        await asyncio.sleep(1.0)
        world.store.renewals.clear()
        for value in range(2, 22):
            world.store.write(value)
            await asyncio.sleep(3.0)
        return world.store.renewals.count(watcher)

    regular = 60.0 / worlds.RENEW_S
    count = run_scenario(scenario, coalesce_s=directory.COALESCE_S)
    assert count <= regular + 20


def test_what_delays_a_change_adds_up_to_less_than_its_limit():
    """Guards against raising one of the delays alone."""
    store_call_s = 0.1
    # The watcher answers that its copy has expired. The one that asks checks
    # whether the store answers it, gives the watcher the time to reconnect,
    # and reads the store itself.
    reconnect_s = (
        neighbours.RECONNECT_GRACE_S + prefix_follower.NEIGHBOUR_RETRY_S
    )
    wait_s = prefix_follower.NEIGHBOUR_RETRY_S + reconnect_s
    assert freshness.MAX_AGE_S + wait_s + 2 * store_call_s < BOUND_S
    # The next watch can be confirmed before the copy expires.
    assert directory.COALESCE_S + 2 * store_call_s < freshness.MAX_AGE_S
    assert prefix_follower.COALESCE_S < directory.COALESCE_S


def test_an_outage_of_the_store_causes_few_calls(run_scenario):
    async def scenario(world):
        world.store.calls.clear()
        for process in world.alive:
            process.connection.cut()
        await asyncio.sleep(6.0)
        calls = len(world.store.calls)
        for process in world.alive:
            process.connection.heal()
        world.store.write(2)
        await asyncio.sleep(BOUND_S)
        return calls, _newest(world)

    calls, newest = run_scenario(scenario)

    # The two followers that watch the store retry every second or two.
    assert calls <= 12
    assert newest == {2}


def test_a_neighbour_that_reconnects_a_moment_later_is_kept(run_scenario):
    async def scenario(world):
        (watcher,) = world.watchers()
        for process in world.alive:
            process.connection.cut()
        await asyncio.sleep(6.0)
        last = world.processes_by_name[watcher]
        for process in world.alive:
            if process is not last:
                process.connection.heal()
        await asyncio.sleep(0.1)
        last.connection.heal()
        world.store.calls.clear()
        await asyncio.sleep(3.0)
        world.store.write(2)
        await asyncio.sleep(BOUND_S)
        return {name for name, _ in world.store.calls} - {watcher}

    assert run_scenario(scenario) == set()


def test_one_process_reads_again_if_the_history_is_gone(run_scenario):
    async def scenario(world):
        world.store.calls.clear()
        world.store.is_paused = True
        world.store.write(2)
        await asyncio.sleep(0.5)
        world.store.is_paused = False
        world.store.forget()
        await asyncio.sleep(0.5)
        return _newest(world), [c for c in world.store.calls if c[1] == "read"]

    newest, reads = run_scenario(scenario)

    assert newest == {2}
    assert len(reads) == 2


def test_another_neighbour_continues_from_the_same_revision(run_scenario):
    async def scenario(world):
        (watcher,) = world.watchers()
        await world.processes_by_name[watcher].stop()
        world.register([name for name in ONE_DOMAIN if name != watcher])
        for value in range(2, 9):
            world.store.write(value)
            await asyncio.sleep(2.0)
        (successor,) = world.watchers()
        return successor != watcher, [p.follower.seen for p in world.alive]

    is_another, seen = run_scenario(scenario)

    assert is_another
    for numbers in seen:
        assert numbers == sorted(numbers)
        assert set(numbers) >= set(range(3, 9))


def test_followers_ignore_older_data_of_a_neighbour(run_scenario):
    async def scenario(world):
        (watcher,) = world.watchers()
        feed = world.processes_by_name[watcher].feeds.feed(worlds.PREFIX)
        update = feed.read_since(None)
        old = keyvalue.Snapshot(
            {entry.key: entry for entry in update.entries}, update.revision
        )
        world.store.write(2)
        await asyncio.sleep(1.0)
        feed.reset(old)
        await asyncio.sleep(3.0)
        return [p.follower.seen for p in world.alive]

    for numbers in run_scenario(scenario):
        assert numbers == sorted(numbers)
        assert numbers[-1] == 2


def test_processes_without_a_neighbour_watch_the_store(run_scenario):
    async def scenario(world):
        world.store.write(2)
        await asyncio.sleep(1.0)
        return world.watchers(), _newest(world)

    domains = {"e1": "a", "f1": "b", "g1": "c"}

    assert run_scenario(scenario, domains) == (["e1", "f1", "g1"], {2})


@pytest.mark.parametrize("body", [b"", b"\xff", b"\x81\x01"])
def test_an_undecodable_response_is_an_error(body):
    with pytest.raises(feeds.FeedUnavailable):
        feeds.read_response(200, body)


NAMES = sorted(ONE_DOMAIN)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "write",
                "cut",
                "heal",
                "refuse",
                "accept",
                "note_failure",
                "silence",
                "speak",
                "forget",
                "kill",
            ]
        ),
        st.sampled_from(NAMES),
        st.floats(min_value=0.0, max_value=2.5),
    ),
    max_size=25,
)


async def _apply_faults(world, faults):
    for number, (fault, name, wait_s) in enumerate(faults):
        process = world.processes_by_name[name]
        if fault == "write":
            world.store.write(100 + number)
        elif fault == "forget":
            world.store.forget()
        elif fault == "silence":
            world.silent.add(name)
        elif fault == "speak":
            world.silent.discard(name)
        elif fault != "kill":
            getattr(process.connection, fault)()
        elif len(world.alive) > 2:
            await process.stop()
        await asyncio.sleep(wait_s)


@hypothesis.given(faults=FAULTS)
def test_followers_never_go_back_and_miss_no_change(run_scenario, faults):
    async def scenario(world):
        await _apply_faults(world, faults)
        world.silent.clear()
        for process in world.alive:
            process.connection.heal()
            process.connection.accept()
        # Longer than a skipped neighbour and a lost watch take together.
        await asyncio.sleep(25.0)
        # A change that comes now would also bring what was missed before.
        current = int(world.store.entries_by_key[worlds.KEY].value)
        settled = _newest(world)
        world.store.write(999)
        await asyncio.sleep(BOUND_S)
        return current, settled, [p.follower.seen for p in world.alive]

    current, settled, seen = run_scenario(scenario)
    assert settled == {current}
    for numbers in seen:
        assert numbers == sorted(numbers)
        assert numbers[-1] == 999
