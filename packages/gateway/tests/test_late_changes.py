"""Tests how old the copies of followers may become, under failures."""

import asyncio
import random

from anvilwell_gateway import feeds
from anvilwell_gateway import freshness
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_gateway import neighbours
from anvilwell_gateway import presence
from anvilwell_gateway import read_retries
from anvilwell_outside.ports import keyvalue
import cbor2
import pytest

# Time within which a change must arrive at all processes, in seconds.
BOUND_S = 2.0
# Time after a disturbance from which that bound holds, in seconds.
UNDISTURBED_S = 3.0


async def _largest_age_s(processes, during_s):
    """Return the largest age of any copy during some seconds."""
    largest_s = 0.0
    loop = asyncio.get_running_loop()
    until = loop.time() + during_s
    while loop.time() < until:
        ages = [process.follower.copy_age_s for process in processes]
        largest_s = max(largest_s, *ages)
        await asyncio.sleep(0.05)
    return largest_s


def test_copies_are_known_to_be_young_while_nothing_fails(run_scenario):
    """Guards against refusals for the age of a copy on a calm day."""

    async def scenario(world):
        calm_s = await _largest_age_s(world.alive, 40.0)
        for number in range(2, 12):
            world.store.write(number)
            calm_s = max(calm_s, await _largest_age_s(world.alive, 0.6))
        return calm_s

    assert run_scenario(scenario) < BOUND_S


def test_a_copy_is_known_to_be_old_where_the_store_is_not_reached(
    run_scenario,
):
    """Guards against a 404 that rests on a copy of unknown age."""

    async def scenario(world):
        for process in world.alive:
            process.connection.cut()
        await asyncio.sleep(3.0)
        return min(process.follower.copy_age_s for process in world.alive)

    assert run_scenario(scenario) > BOUND_S


@pytest.mark.parametrize("refused_s", [1.0, 1.8, 2.4, 2.9, 3.4])
def test_a_change_arrives_in_time_after_the_store_refused_an_entry(
    run_scenario, refused_s
):
    """Guards against a 404 for a route that was added seconds ago.

    An entry that the store had refused for less than its lease lasts waited
    for up to four seconds more before it read the configuration.
    """

    async def scenario(world):
        (watcher,) = world.watchers()
        process = world.processes_by_name[watcher]
        process.connection.refuse()
        await asyncio.sleep(refused_s)
        process.connection.accept()
        await asyncio.sleep(UNDISTURBED_S - BOUND_S)
        world.store.write(2)
        await asyncio.sleep(BOUND_S)
        return {process.follower.newest for process in world.alive}

    assert run_scenario(scenario) == {2}


def test_changes_arrive_in_time_while_a_rate_limit_refuses_reads(
    run_scenario,
):
    """Guards against long waits while the store answers other calls."""

    async def scenario(world):
        rng = random.Random(65)
        late = []
        for number in range(2, 42):
            name = rng.choice(sorted(world.processes_by_name))
            process = world.processes_by_name[name]
            process.connection.refuse()
            process.connection.is_refusing_renewals = False
            await asyncio.sleep(rng.uniform(1.0, 8.0))
            process.connection.accept()
            await asyncio.sleep(UNDISTURBED_S - BOUND_S)
            world.store.write(number)
            await asyncio.sleep(BOUND_S)
            if process.follower.newest != number:
                late.append(number)
        return late

    assert run_scenario(scenario) == []


def test_refused_reads_are_repeated_at_a_bounded_rate(run_scenario):
    """Guards against a call to the store for each answer to another one."""

    async def scenario(world):
        (watcher,) = world.watchers()
        connection = world.processes_by_name[watcher].connection
        connection.refuse()
        connection.is_refusing_renewals = False
        world.store.calls.clear()
        for _ in range(1000):
            connection.renew_now()
            await asyncio.sleep(0.01)
        return [name for name, _ in world.store.calls].count(watcher)

    # Two followers, which each wait 0.35 s at least between attempts.
    assert run_scenario(scenario) <= 2 * 10.0 / 0.35 + 2


def test_a_follower_is_not_moved_past_changes_that_it_lacks(run_virtual):
    """Guards against an old configuration until the next change.

    The first answer after a lost call was that of a watch: the feed had the
    change and was read again in the same moment. It said "nothing new", with
    the revision of the change.
    """

    async def scenario():
        contact = freshness.StoreContact(lambda: 0.0, lambda: None, 0.7)
        local_feeds = feeds.Feeds(lambda: True, contact)
        feed = local_feeds.feed("p/")
        other = local_feeds.feed("q/")
        for one in (feed, other):
            one.reset(keyvalue.Snapshot({}, 5))
        query = feeds.ChangesRequest({"p/": 5, "q/": 5})
        responder = _Responder()
        request = messages.Request("POST", "/", (), cbor2.dumps(query))
        answering = asyncio.create_task(local_feeds.answer(request, responder))
        await asyncio.sleep(0.1)
        feed.add([keyvalue.Change("p/a", b"1", 7)], 7)
        feed.suspend()
        other.suspend()
        other.reset(keyvalue.Snapshot({}, 7))
        await answering
        entry = keyvalue.Entry("p/a", b"1", 7)
        feed.reset(keyvalue.Snapshot({"p/a": entry}, 7))
        updates_by_prefix = feeds.read_response(200, responder.body)
        reached = max(5, updates_by_prefix["p/"].revision)
        return feed.read_since(reached)

    update = run_virtual(scenario())
    assert update.outcome in (
        feeds.FeedStatus.DATA,
        feeds.FeedStatus.FORGOTTEN,
    )


def test_what_delays_a_change_after_a_disturbance_adds_up_to_its_limit():
    """Guards against raising one of the delays alone."""
    store_call_s = 0.1
    # A watch hangs on a connection that fell silent alone. Once it has failed,
    # the next renewal shows that the store answers, and all is read.
    hung_s = client.SILENCE_TIMEOUT_S + presence.RENEW_S + 2 * store_call_s
    assert hung_s < UNDISTURBED_S
    # The store refused all calls; the first renewal that it answers ends the
    # wait.
    refused_s = presence.RETRY_S + read_retries.REFUSED_WAIT_S
    assert refused_s + 2 * store_call_s < BOUND_S
    # It refuses reads alone: an attempt fails just after a renewal.
    longest_wait_s = max(read_retries.REFUSED_WAIT_S, presence.RENEW_S)
    assert longest_wait_s + 2 * store_call_s < BOUND_S
    # A neighbour does not respond.
    answer_s = feeds.WAIT_S + neighbours.MARGIN_S
    assert answer_s + 2 * store_call_s < BOUND_S


class _Responder:
    """Keeps the body of the response."""

    body = b""

    async def send(self, status, headers=(), body=b""):
        self.body = body
