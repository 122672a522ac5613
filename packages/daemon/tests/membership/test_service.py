"""Membership of a few daemons over real sockets."""

import asyncio
import contextlib
import random
import typing

from anvilwell_daemon.membership import service
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers_service
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel import services

WAIT_S = 20.0
LIVE = messages.State.LIVE
LEAVING = messages.State.LEAVING
DEAD = messages.State.DEAD


class Daemon:
    """The kernel of one daemon's control services."""

    def __init__(self, vm_id, seeds=(), vm_list=None):
        self.vm_id = vm_id
        door = listener.Listener("127.0.0.1", 0)
        self.listener = door
        self.peers = peers_service.Peers(vm_id, door)
        self.membership = service.Membership(
            "agent",
            "lm",
            f"d{vm_id[-1]}",
            seeds=seeds,
            vm_list=vm_list,
            rng=random.Random(vm_id),
        )
        self.kernel = services.Kernel([door, self.peers, self.membership])

    def state_of(self, vm_id):
        member = self.membership.members_by_id.get(vm_id)
        return member and member.state

    async def sees(self, vm_id, state):
        changed = asyncio.Event()

        def wake(before, after):
            changed.set()

        self.membership.subscribe(wake)
        async with asyncio.timeout(WAIT_S):
            while self.state_of(vm_id) is not state:
                changed.clear()
                await changed.wait()
        self.membership.unsubscribe(wake)


@contextlib.asynccontextmanager
async def fleet(*vm_ids, **options):
    async with contextlib.AsyncExitStack() as stack:
        daemons = []
        for vm_id in vm_ids:
            seeds = [daemons[0].listener.address] if daemons else []
            daemon = Daemon(vm_id, seeds, **options)
            await daemon.kernel.start()
            stack.push_async_callback(daemon.kernel.stop)
            daemons.append(daemon)
        for daemon in daemons:
            for vm_id in vm_ids:
                await daemon.sees(vm_id, LIVE)
        yield daemons


def test_daemons_meet_by_a_seed_and_see_one_leave():
    async def main():
        async with fleet("vm0", "vm1", "vm2", "vm3") as daemons:
            await daemons[3].membership.drain()
            for daemon in daemons[:3]:
                await daemon.sees("vm3", LEAVING)
            assert all(daemon.membership.is_ready() for daemon in daemons)

    asyncio.run(main())


def test_stopped_daemon_is_found_dead_by_all_others():
    async def main():
        async with fleet("vm0", "vm1", "vm2") as daemons:
            await daemons[2].kernel.stop()
            for daemon in daemons[:2]:
                await daemon.sees("vm2", DEAD)

    asyncio.run(main())


def test_vm_list_tells_all_of_a_leaving_daemon():
    class Vm(typing.NamedTuple):
        address: str
        state: str

    class VmList:
        def vms(self, *, timeout_s):
            return {"vm1": Vm("", "leaving"), "vm0": Vm("", "live")}

    async def main():
        async with fleet("vm0", "vm1", "vm2") as daemons:
            last = Daemon(
                "vm9", [daemons[0].listener.address], vm_list=VmList()
            )
            await last.kernel.start()
            try:
                for daemon in daemons:
                    await daemon.sees("vm1", LEAVING)
            finally:
                await last.kernel.stop()

    asyncio.run(main())


class RecordingPeers(peers_service.Peers):
    """Peers that note whose address they were told."""

    def __init__(self, *args):
        super().__init__(*args)
        self.told = set()

    def learn(self, vm_id, address):
        super().learn(vm_id, address)
        self.told.add(vm_id)


def test_members_that_are_no_neighbours_can_be_reached(monkeypatch):
    monkeypatch.setattr(peers_service, "Peers", RecordingPeers)

    async def main():
        async with fleet("vm0") as (daemon,):
            known = []

            def note(before, after):
                known.append(after.vm_id in daemon.peers.told)

            daemon.membership.subscribe(note)
            far = messages.Member(
                "vm9", "127.0.0.1:9", "d9", "agent", "lm", LIVE, 1
            )
            async with fleet("vm1") as (other,):
                other.peers.learn("vm0", daemon.listener.address)
                await other.peers.send(
                    "vm0", messages.Difference([], [far], False)
                )
                await daemon.sees("vm9", LIVE)
            assert all(known)

    asyncio.run(main())
