"""Tests that homes of a service lend each other slots over a connection."""

import asyncio
import types

from anvilwell_decisions.batches import dispatch as dispatches
from anvilwell_decisions.requests import send_windows
from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import slot_sharing
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict

SLOTS = 4
REPLICAS = [facts.Replica(f"r{n}", "lm", None, "a", SLOTS) for n in range(20)]


class _Responder:
    async def send(self, status, headers=(), body=b""):
        self.status, self.body = status, body


class _Pool:
    """Calls the other home's `SlotSharing` in place of a connection."""

    def __init__(self, peers_by_vm):
        self._peers_by_vm = peers_by_vm
        self.is_failing = False
        self.call_count = 0

    async def call(self, key, address, question, timeout_s, max_bytes):
        self.call_count += 1
        if self.is_failing:
            raise exceptions.BackendFailed(
                "connection failed",
                reason=reasons.Refusal.CONNECT_FAILED,
                verdict=verdict.Verdict.NOT_RUN,
            )
        responder = _Responder()
        await self._peers_by_vm[key].slot_sharing.handle_request(
            question, responder
        )
        return messages.Reply(responder.status, ()), responder.body

    def close(self):
        pass


class _Home:
    """One home's dispatcher and slot sharing, and its waiting items."""

    def __init__(self, vm_id, peers_by_vm, homes, sends_of):
        cluster_state = types.SimpleNamespace(
            addresses_by_vm=dict.fromkeys(homes, "10.0.0.1:1")
        )
        self.slot_sharing = slot_sharing.SlotSharing(
            vm_id,
            cluster_state,
            types.SimpleNamespace(
                all=lambda service: homes,
                domains_by_home=lambda service: {},
            ),
        )
        self.pool = self.slot_sharing._pool = _Pool(peers_by_vm)
        self.dispatch = dispatches.Dispatcher(sends_of)
        self.dispatch.set_replicas(REPLICAS)
        self.waiting = 0
        self.slot_sharing.usage_of = lambda service: slot_sharing.SlotUsage(
            self.waiting, self.dispatch.workers(service)
        )
        self.slot_sharing.on_change = lambda: self.dispatch.set_limits(
            self.slot_sharing.limit
        )
        self.slot_sharing.update_homes(["lm"])
        self.slot_sharing.on_change()
        peers_by_vm[vm_id] = self

    def fill(self):
        """Use every slot that may be used; return how many were free."""
        workers = self.dispatch.workers("lm")
        free = sum(max(0, worker.free_slots) for worker in workers)
        for worker in workers:
            worker.running += max(0, worker.free_slots)
        return free


def _run(scenario, homes=("a", "b"), sends_of=None):
    async def run():
        peers_by_vm = {}
        return await scenario(
            *(
                _Home(vm_id, peers_by_vm, homes, sends_of)
                for vm_id in ("a", "b")
            )
        )

    return asyncio.run(run())


async def _ask(home):
    home.slot_sharing.request_slots("lm")
    await asyncio.gather(*home.slot_sharing._tasks)


def test_a_full_home_borrows_slots_and_no_slot_is_used_twice():
    async def scenario(a, b):
        own = a.fill()
        a.waiting = 10
        await _ask(a)
        assert a.fill() == 10
        assert own + b.fill() == SLOTS * len(REPLICAS) - 10

    _run(scenario)


def test_a_home_with_items_waiting_lends_nothing():
    async def scenario(a, b):
        a.fill()
        b.fill()
        a.waiting = b.waiting = 10
        await _ask(a)
        assert a.fill() == 0

    _run(scenario)


def test_a_home_borrows_nothing_if_its_request_fails():
    async def scenario(a, b):
        a.fill()
        a.waiting = 10
        a.pool.is_failing = True
        await _ask(a)
        assert a.pool.call_count == 1
        assert a.fill() == 0

    _run(scenario)


def test_a_single_home_sends_no_requests_and_uses_all_slots():
    async def scenario(a, b):
        a.waiting = 10
        await _ask(a)
        assert not a.pool.call_count
        assert a.fill() == SLOTS * len(REPLICAS)

    _run(scenario, homes=("a",))


def test_a_home_without_items_sends_no_requests():
    async def scenario(a, b):
        await _ask(a)
        assert not a.pool.call_count

    _run(scenario)


def test_lent_slots_of_replicas_that_may_be_cold_carry_requests():
    """Guard against more requests of lender and borrower than of one."""

    def sends_of(replica):
        return send_windows.ReplicaSends(
            send_windows.SendWindow(), lambda now: 2, lambda: True
        )

    async def scenario(a, b):
        now = asyncio.get_running_loop().time()
        b.waiting = 20
        await _ask(b)
        borrowed = [
            b.slot_sharing.borrowed(replica, now) for replica in REPLICAS
        ]
        spare = [
            worker.sends.spare(now + 0.1)
            for worker in a.dispatch.workers("lm")
        ]
        assert sum(borrowed) > 0
        assert sum(borrowed) + sum(spare) == 2 * len(REPLICAS)

    _run(scenario, ("a",), sends_of)
    _run(scenario, ("a", "b"), sends_of)


def test_a_loan_ends_if_the_lender_does_not_answer(run_virtual):
    """Guard against requests of a borrower beside all of the lender's."""

    async def scenario():
        peers_by_vm = {}
        a, _ = (
            _Home(vm_id, peers_by_vm, ("a", "b"), None) for vm_id in ("a", "b")
        )

        def borrowed_count():
            now = asyncio.get_running_loop().time()
            return sum(a.slot_sharing.borrowed(one, now) for one in REPLICAS)

        a.fill()
        a.waiting = 10
        await _ask(a)
        assert a.fill() == borrowed_count() == 10
        a.pool.is_failing = True
        for _ in range(3):
            await asyncio.sleep(2 * slot_sharing.REQUEST_INTERVAL_S)
            await _ask(a)
        assert a.pool.call_count == 4
        assert borrowed_count() == 0

    run_virtual(scenario())
