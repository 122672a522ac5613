"""Tests how old the copies of followers may become, under failures."""

import asyncio

# Time within which a change must arrive at all processes, in seconds.
BOUND_S = 2.0


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
