"""The membership service with a few daemons over real sockets."""

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
    """A daemon with only the services that membership requires."""

    def __init__(self, vm_id, seeds=(), vm_list=None):
        self.vm_id = vm_id
        peer_listener = listener.Listener("127.0.0.1", 0)
        self.listener = peer_listener
        self.peers = peers_service.Peers(vm_id, peer_listener)
        self.membership = service.Membership(
            "agent",
            "lm",
            f"d{vm_id[-1]}",
            seeds=seeds,
            vm_list=vm_list,
            rng=random.Random(vm_id),
        )
        self.kernel = services.Kernel(
            [peer_listener, self.peers, self.membership]
        )

    def state_of(self, vm_id):
        member = self.membership.members_by_id.get(vm_id)
        return member and member.state

    async def wait_for_state(self, vm_id, state):
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
                await daemon.wait_for_state(vm_id, LIVE)
        yield daemons


def test_daemons_join_by_a_seed_and_see_one_leave():
    async def main():
        async with fleet("vm0", "vm1", "vm2", "vm3") as daemons:
            await daemons[3].membership.drain()
            for daemon in daemons[:3]:
                await daemon.wait_for_state("vm3", LEAVING)
            assert all(daemon.membership.is_ready() for daemon in daemons)

    asyncio.run(main())


def test_stopped_daemon_is_detected_as_dead_by_all_others():
    async def main():
        async with fleet("vm0", "vm1", "vm2") as daemons:
            await daemons[2].kernel.stop()
            for daemon in daemons[:2]:
                await daemon.wait_for_state("vm2", DEAD)

    asyncio.run(main())


def test_leaving_daemon_in_the_vm_list_is_announced_to_all():
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
                    await daemon.wait_for_state("vm1", LEAVING)
            finally:
                await last.kernel.stop()

    asyncio.run(main())


class RecordingPeers(peers_service.Peers):
    """Peers that record which VMs they were given an address for."""

    def __init__(self, *args):
        super().__init__(*args)
        self.learned_ids = set()

    def learn(self, vm_id, address):
        super().learn(vm_id, address)
        self.learned_ids.add(vm_id)


def test_members_that_are_not_neighbours_have_an_address(monkeypatch):
    monkeypatch.setattr(peers_service, "Peers", RecordingPeers)

    async def main():
        async with fleet("vm0") as (daemon,):
            known = []

            def note(before, after):
                known.append(after.vm_id in daemon.peers.learned_ids)

            daemon.membership.subscribe(note)
            remote = messages.Member(
                "vm9", "127.0.0.1:9", "d9", "agent", "lm", LIVE, 1
            )
            async with fleet("vm1") as (other,):
                other.peers.learn("vm0", daemon.listener.address)
                await other.peers.send(
                    "vm0", messages.Difference([], [remote], False)
                )
                await daemon.wait_for_state("vm9", LIVE)
            assert all(known)

    asyncio.run(main())
