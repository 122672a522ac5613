"""Simulates VMs with a duty, a store with leases and a platform in one loop.

The presence, duty and reporter of each VM are the real classes. A suspended
VM neither sends nor receives, but its timers keep running. So calls that it
decides on meanwhile are sent when it resumes, as if it had been suspended
between a check and the send.
"""

import asyncio
import itertools

from anvilwell_decisions.duties import usage
from anvilwell_gateway import config
from anvilwell_gateway.duties import duty_election
from anvilwell_gateway.duties import window_reporter
from anvilwell_gateway.http import client
from anvilwell_gateway import live_keys
from anvilwell_gateway import presence
from anvilwell_gateway_standins import duties as usage_checks
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue

WINDOW_S = 5.0
LATE_S = 10.0
TURN_S = 3.0
ANSWER_S = 0.004
TIMEOUT_S = 0.8
# Reports that arrive within this many seconds after their sender resumed do
# not count as breaches: they stand for reports that were checked before it
# was suspended.
RESUME_GRACE_S = 0.3
# True time in seconds when the loop's clock is 0.
EPOCH_S = 1_000_000.0
# Seconds until a late write is applied, after its call got no response.
LATE_WRITE_S = 2.5
SETTINGS = config.UsageSection(
    options.Address("127.0.0.1", 1), WINDOW_S, LATE_S, TURN_S
)


class FakeStore:
    """Fake store with entries, revisions and leases that expire."""

    def __init__(self):
        self.revision = 1
        self.entries_by_key = {}
        self.ends_by_lease = {}
        self._numbers = itertools.count(1)

    def _lapse(self):
        now = asyncio.get_running_loop().time()
        ended = {k for k, end in self.ends_by_lease.items() if end <= now}
        for lease in ended:
            self.end(lease)

    def end(self, lease):
        """End a lease and delete its keys."""
        self.ends_by_lease.pop(lease, None)
        for key, entry in list(self.entries_by_key.items()):
            if entry.lease == lease:
                self.revision += 1
                del self.entries_by_key[key]

    def grant(self, ttl_s):
        """Return a new lease."""
        lease = next(self._numbers)
        now = asyncio.get_running_loop().time()
        self.ends_by_lease[lease] = now + ttl_s
        return lease

    def keep(self, lease):
        """Renew a lease; return whether it was still valid."""
        self._lapse()
        if lease not in self.ends_by_lease:
            return False
        now = asyncio.get_running_loop().time()
        self.ends_by_lease[lease] = now + presence.TTL_S
        return True

    def read(self, prefix):
        """Return a snapshot of all entries under a prefix."""
        self._lapse()
        found = {
            key: entry
            for key, entry in self.entries_by_key.items()
            if key.startswith(prefix)
        }
        return keyvalue.Snapshot(found, self.revision)

    def swap(self, swaps):
        """Apply all swaps, or none if one of them conflicts."""
        self._lapse()
        known = {swap.key: self.entries_by_key.get(swap.key) for swap in swaps}
        for swap in swaps:
            entry = known[swap.key]
            if (entry.revision if entry else 0) != swap.expected:
                there = {key: e for key, e in known.items() if e}
                return keyvalue.SwapResult(False, 0, there)
        writes = [one for one in swaps if isinstance(one, keyvalue.Swap)]
        if any(w.lease and w.lease not in self.ends_by_lease for w in writes):
            raise exceptions.NotFound("the lease has ended")
        self.revision += 1
        for write in writes:
            self.entries_by_key[write.key] = keyvalue.Entry(
                write.key, write.value, self.revision, write.lease
            )
        return keyvalue.SwapResult(True, self.revision, {})


class StoreConnection:
    """The connection of one VM to the store, with faults.

    ``fault`` is "" or one of ``silent`` (calls are neither applied nor
    answered), ``lost`` (calls are applied but not answered) and ``late``
    (writes are applied later and not answered).
    """

    def __init__(self, store, vm):
        self._store = store
        self._vm = vm
        self.fault = ""

    async def get(self, key):
        snapshot = await self.get_prefix(key)
        return snapshot.entries_by_key.get(key)

    async def get_prefix(self, prefix):
        return await self._call(lambda: self._store.read(prefix))

    async def swap(self, swaps):
        return await self._call(lambda: self._store.swap(swaps), True)

    async def ping(self):
        await self._call(lambda: None)

    async def grant(self, ttl_s):
        return await self._call(lambda: self._store.grant(ttl_s), True)

    async def keep_alive(self, lease):
        return await self._call(lambda: self._store.keep(lease), True)

    async def revoke(self, lease):
        return await self._call(lambda: self._store.end(lease), True)

    async def _call(self, act, is_write=False):
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._vm.wait_until_running()
                await asyncio.sleep(ANSWER_S / 2)
                fault = self.fault
                if fault == "late" and is_write:
                    loop = asyncio.get_running_loop()
                    loop.call_later(LATE_WRITE_S, _quietly, act)
                if fault == "silent" or (fault == "late" and is_write):
                    await asyncio.get_running_loop().create_future()
                result = act()
                await asyncio.sleep(ANSWER_S / 2)
                if fault == "lost":
                    await asyncio.get_running_loop().create_future()
                await self._vm.wait_until_running()
                return result
        except TimeoutError:
            raise exceptions.KeyValueUnavailable("no answer") from None


def wall_time():
    """Return true time in seconds; all clocks are right."""
    return EPOCH_S + asyncio.get_running_loop().time()


def _quietly(act):
    """Apply a late write and ignore its result."""
    try:
        act()
    except exceptions.NotFound:
        return


class FakePlatform:
    """Fake platform that records the reports of one VM.

    ``fault`` is "", ``busy`` (reports are refused) or ``lost`` (reports are
    recorded, but their responses are lost).
    """

    def __init__(self, vm, calls):
        self._vm = vm
        self._calls = calls
        self.fault = ""

    async def report_usage(self, report, tenure):
        await asyncio.sleep(ANSWER_S)
        tenure.check()
        await self._vm.wait_until_running()
        await asyncio.sleep(ANSWER_S)
        if self.fault == "busy":
            raise client.call_error("busy")
        now = asyncio.get_running_loop().time()
        self._calls.append(
            usage_checks.Call(
                now,
                tenure.vm_id,
                tenure.fencing,
                report.window,
                dict(report.by_organisation),
                now - self._vm.resumed_at <= RESUME_GRACE_S,
            )
        )
        if self.fault == "lost":
            await asyncio.sleep(TIMEOUT_S)
            raise client.call_error("no answer")


class PollingClusterState:
    """Polls the live entries and passes the holder's key to the duty."""

    POLL_S = 0.2

    def __init__(self, store):
        self._store = store
        self._takers_by_prefix = {}
        self.incarnations_by_vm = {}
        self.is_loaded = False

    def delegate_prefix(self, prefix, taker):
        self._takers_by_prefix[prefix] = taker

    async def run(self):
        while True:
            try:
                await self._poll()
            except exceptions.AnvilwellError:
                pass
            await asyncio.sleep(self.POLL_S)

    async def _poll(self):
        snapshot = await self._store.get_prefix("anvilwell/")
        found = snapshot.entries_by_key
        live = {
            key: entry
            for key, entry in found.items()
            if key.startswith(live_keys.PREFIX)
        }
        self.incarnations_by_vm = live_keys.incarnations(
            live_keys.read_all(live)
        )
        self.is_loaded = True
        for prefix, taker in self._takers_by_prefix.items():
            taker.load(
                {key: e for key, e in found.items() if key.startswith(prefix)}
            )


class SimulatedVm:
    """One incarnation of a VM, from start to kill or drain."""

    def __init__(self, vm_id, store, calls):
        self.vm_id = vm_id
        self._running = asyncio.Event()
        self._running.set()
        self.resumed_at = float("-inf")
        self.store = StoreConnection(store, self)
        self.platform = FakePlatform(self, calls)
        self.presence = presence.Presence(self.store, vm_id)
        self.cluster_state = PollingClusterState(self.store)
        self.duty = duty_election.Duty(
            "usage", self.store, self.presence, self.cluster_state, TURN_S
        )
        self.reporter = window_reporter.UsageReporter(
            self.store,
            self.presence,
            self.cluster_state,
            self.duty,
            self.platform,
            SETTINGS,
            wall_time,
        )
        self.started_at = asyncio.get_running_loop().time()
        self.tally = usage.RequestCounter()
        self.notice_count = 0
        self._tasks = []

    async def wait_until_running(self):
        """Wait until the VM is not suspended."""
        await self._running.wait()

    @property
    def is_running(self):
        return self._running.is_set()

    def suspend(self):
        self._running.clear()

    def resume(self):
        self.resumed_at = asyncio.get_running_loop().time()
        self._running.set()

    def start(self):
        self.presence.start("127.0.0.1:1")
        self.duty.start()
        self.reporter.start()
        self._tasks.append(asyncio.create_task(self.cluster_state.run()))

    async def kill(self):
        """Cancel all tasks without releasing the lease."""
        tasks = [
            *self._tasks,
            self.duty._task,
            self.reporter._task,
            self.presence._task,
        ]
        for task in tasks:
            if task:
                task.cancel()
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)

    async def drain(self):
        """Release the duty, then the lease, then cancel all tasks."""
        await self.duty.stop()
        await self.reporter.stop()
        await self.presence.stop()
        await self.kill()

    def process_counts(self):
        self.notice_count += 1
        now = wall_time()
        return usage.ProcessCounts(
            self.vm_id,
            self.presence.incarnation,
            self.notice_count,
            now,
            self.started_at + EPOCH_S,
            now,
            self.tally.counts(EPOCH_S, WINDOW_S),
        )


class DutySimulation:
    """VMs whose callers send requests continuously."""

    REPORT_INTERVAL_S = 0.5

    def __init__(self, vm_ids):
        self.store = FakeStore()
        self.calls = []
        self.vms_by_id = {}
        for vm_id in vm_ids:
            self.start(vm_id)

    def start(self, vm_id):
        vm = SimulatedVm(vm_id, self.store, self.calls)
        vm.start()
        self.vms_by_id[vm_id] = vm

    async def restart(self, vm_id, is_drained, down_s=0.0):
        vm = self.vms_by_id.pop(vm_id)
        vm.resume()
        await (vm.drain() if is_drained else vm.kill())
        await asyncio.sleep(down_s)
        self.start(vm_id)

    @property
    def holders(self):
        return [
            vm for vm in self.vms_by_id.values() if vm.duty.tenure is not None
        ]

    async def run_traffic(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.REPORT_INTERVAL_S)
            for vm in list(self.vms_by_id.values()):
                if vm.is_running:
                    vm.tally.add("schools", loop.time())
                    self._deliver_counts(vm.process_counts())

    def _deliver_counts(self, process_counts):
        for other in self.vms_by_id.values():
            try:
                if other.is_running:
                    other.reporter.accept_counts(process_counts)
            except exceptions.Refused:
                continue

    async def stop(self):
        for vm in self.vms_by_id.values():
            vm.resume()
            await vm.kill()

    def breaches(self):
        return usage_checks.find_breaches(self.calls, TURN_S)
