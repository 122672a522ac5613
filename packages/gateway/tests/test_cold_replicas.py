"""Tests what one entry sends to replicas that may be cold."""

import asyncio
import types

from anvilwell_decisions.requests import send_windows
from anvilwell_decisions.traffic import facts
from anvilwell_gateway import cold_replicas
from anvilwell_gateway import config
from anvilwell_gateway import directory as directories
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import pytest

SETTINGS = config.ColdReplicasSection(1.5, 5)
REPLICA = facts.Replica("r#1", "lm", None, "a", 12, name="r")
OWNER_ALLOWANCE = 9


class _Directory:
    def __init__(self):
        self.replicas_by_id = {}
        self.usable_calls = 0

    def listen(self, callback):
        self._callback = callback

    def usable(self, service):
        self.usable_calls += 1
        replicas = self.replicas_by_id.values()
        return [one for one in replicas if one.service == service]

    def find_usable(self, replica_id):
        return self.replicas_by_id.get(replica_id)

    def register(self, replica, **changes):
        # Each registration that is read is a new object.
        changed = replica._replace(**changes)
        self.replicas_by_id[replica.replica_id] = changed
        self.notify(replica)

    def remove(self, replica):
        del self.replicas_by_id[replica.replica_id]
        self.notify(replica)

    def notify(self, replica):
        ids = frozenset([replica.replica_id])
        self._callback(directories.DirectoryChange(ids, True))


class _World:
    """What an entry knows; by default it is the only home."""

    def __init__(self, is_batch=True, cold_rate=11.0):
        target = facts.WeightedService("lm", 1.0)
        service = facts.ServiceFacts("lm", cold_rate=cold_rate)
        self.current = facts.Configuration(
            1,
            (facts.Route("r", "h", "/", (target,), is_batch),),
            {"lm": service, "plain": facts.ServiceFacts("plain")},
            None,
        )
        self.directory = _Directory()
        self.live_by_vm = dict.fromkeys(("a", "b", "c"))
        self.homes = ("a",)
        self.lapsed_at = float("-inf")
        self.session = types.SimpleNamespace(deadline=float("inf"))
        self.cold_replicas = cold_replicas.ColdReplicas(
            SETTINGS, "a", self, self.directory, self, self
        )
        self.cold_replicas.homes_of = lambda key: self.homes
        self._configured()
        self.entries_changed()

    def listen(self, callback):
        self._configured = callback

    def listen_entries(self, callback):
        self.entries_changed = callback

    def send(self, replica=REPLICA, count=30):
        """Return how many requests may be written now."""
        sends = self.cold_replicas.sends(replica)
        now = asyncio.get_running_loop().time()
        return sum(
            sends.may_send(now) and sends.reserve().use(now)
            for _ in range(count)
        )


async def _after_window():
    await asyncio.sleep(send_windows.WINDOW_S)


def test_an_owner_sends_its_allowance_in_each_window(run_virtual):
    """Guard against the burst of a whole replica's slots."""

    async def scenario():
        world = _World()
        world.directory.register(REPLICA)
        assert world.send() == 0
        await _after_window()
        assert world.send() == OWNER_ALLOWANCE
        restarted = REPLICA._replace(replica_id="r#2")
        world.directory.remove(REPLICA)
        world.directory.register(restarted)
        assert world.send(restarted) == 0
        await _after_window()
        assert world.send(restarted) == OWNER_ALLOWANCE

    run_virtual(scenario())


def test_a_replica_that_returns_keeps_the_requests_sent_to_it(run_virtual):
    """Guard against a second allowance after another replica has left."""

    async def scenario():
        world = _World()
        other = REPLICA._replace(replica_id="s#1", name="s")
        for replica in (REPLICA, other):
            world.directory.register(replica)
            world.cold_replicas.sends(replica)
        await _after_window()
        world.directory.remove(other)
        assert world.send() == OWNER_ALLOWANCE
        world.directory.remove(REPLICA)
        world.directory.register(REPLICA)
        assert world.send() == 0

    run_virtual(scenario())


def test_entries_that_are_no_owner_send_little_and_nothing_if_cold(
    run_virtual,
):
    """Guard against requests beside those of the owner."""

    async def scenario():
        world = _World()
        world.live_by_vm = dict.fromkeys(("a", "b"))
        world.homes = ("b",)
        world.entries_changed()
        world.directory.register(REPLICA)
        await asyncio.sleep(2.5)
        assert world.send() == 0
        world.directory.notify(REPLICA)
        assert world.send() == 0
        world.directory.register(REPLICA)
        await asyncio.sleep(0.01)
        assert world.send() == 1
        world.homes = ("a",)
        world.entries_changed()
        world.directory.register(REPLICA, cold_s=2.0)
        await asyncio.sleep(1.0)
        assert world.send() == 0
        await asyncio.sleep(0.1)
        assert world.send() == OWNER_ALLOWANCE
        await _after_window()
        world.session.deadline = float("-inf")
        assert world.send() == 0

    run_virtual(scenario())


def test_live_calls_are_refused_until_a_replica_may_be_sent_one(run_virtual):
    """Guard against refusals without a time at which a call may succeed."""

    async def scenario():
        world = _World(is_batch=False)
        limit = world.cold_replicas
        world.directory.register(REPLICA)
        await _after_window()
        # Three entries share ten requests.
        for _ in range(3):
            assert limit.wait_s("lm") is None
            with limit.permit(REPLICA) as permit:
                permit.use()
        assert list(limit.exclusions("lm", frozenset())) == [{"r#1"}, {"r#1"}]
        await asyncio.sleep(0.6)
        assert limit.wait_s("lm") == pytest.approx(0.5)
        with (
            pytest.raises(exceptions.BackendFailed) as caught,
            limit.permit(REPLICA),
        ):
            pass
        assert caught.value.reason is reasons.Refusal.COLD_LIMIT

    run_virtual(scenario())


def test_services_without_a_rate_have_no_limit(run_virtual):
    """Guard against work for services without cold replicas."""

    async def scenario():
        world = _World(cold_rate=0.0)
        world.directory.register(REPLICA)
        limit = world.cold_replicas
        assert limit.sends(REPLICA) is None
        tried = frozenset(["o#1"])
        assert list(limit.exclusions("lm", tried)) == [tried]
        assert limit.wait_s("lm") is None
        with limit.permit(REPLICA) as permit:
            assert permit is None
        assert world.directory.usable_calls == 0

    run_virtual(scenario())
