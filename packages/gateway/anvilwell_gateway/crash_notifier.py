"""Notifies other entries directly of crashes under requests.

Crashes are also written to the store, from which entries that start later
read them. But while the store takes no writes, each entry would let the same
request crash as many replicas again. Crashes are rare, so each one is sent to
every entry, which takes a millisecond or two.
"""

import asyncio
import itertools
import typing

import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/ends"
# Limits of a notification. An entry answers within milliseconds; one that
# takes longer is unreachable.
LIMITS = peer_calls.CallLimits(timeout_s=0.5, max_bytes=4 << 10)
# Delays between retries, in seconds. The last one repeats without a limit,
# as an entry that is unreachable from here may still serve callers.
RETRY_DELAYS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
# Limit on the number of reports that are kept for entries which have not
# acknowledged them; the oldest are dropped first. It covers all replicas of
# several racks, and the requests that are cleared after each crash.
MAX_PENDING_CRASHES = 1024


class Crash(typing.NamedTuple):
    """A replica that crashed, and the requests that it was answering.

    The crash no longer counts against the requests in ``cleared``, as replicas
    have answered them in full since.
    """

    replica_id: str
    fingerprints: tuple[str, ...]
    cleared: tuple[str, ...] = ()


_CRASHES = pydantic.TypeAdapter(tuple[Crash, ...])

_LOG = logs.get_logger(__name__)


def read(body):
    """Return each `Crash` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If the body can't be decoded.
    """
    return peer_calls.decode(_CRASHES, body, "crashes of replicas")


class _Delivered(typing.NamedTuple):
    """The crashes that one incarnation of an entry has acknowledged."""

    incarnation: str
    crashes: frozenset


_NONE_DELIVERED = _Delivered("", frozenset())


def retry_delays_s():
    """Return an endless iterator of retry delays, in seconds."""
    return itertools.chain(
        RETRY_DELAYS_S, itertools.repeat(RETRY_DELAYS_S[-1])
    )


class CrashNotifier:
    """Sends crashes to each live entry, one message at a time.

    An entry that registers after a crash is notified of it then. A crash is
    sent for as long as it holds a request back.

    Parameters
    ----------
    vm_id : str
        The id of this VM, which is not notified.
    cluster_state : cluster_state.ClusterState
        The live entries and their addresses.
    """

    def __init__(self, vm_id, cluster_state):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._clock = asyncio.get_running_loop().time
        self._pool = connection_pool.Pool(self._clock, True)
        self._observed_at_by_crash = {}
        self._delivered_by_vm = {}
        self._tasks_by_vm = {}

    def notify(self, crash):
        """Notify all other entries of a `Crash`."""
        self._observed_at_by_crash[crash] = self._clock()
        excess = len(self._observed_at_by_crash) - MAX_PENDING_CRASHES
        for oldest in list(self._observed_at_by_crash)[: max(0, excess)]:
            del self._observed_at_by_crash[oldest]
            _LOG.log("end-forgotten", replica=oldest.replica_id)
        self.entries_changed()

    def entries_changed(self):
        """Start to send each live entry the crashes that it lacks."""
        if not self._observed_at_by_crash:
            return
        vm_ids = set(self._cluster_state.addresses_by_vm) - {self._vm_id}
        self._delivered_by_vm = {
            vm_id: delivered
            for vm_id, delivered in self._delivered_by_vm.items()
            if vm_id in vm_ids
        }
        for vm_id in sorted(vm_ids.difference(self._tasks_by_vm)):
            if self._pending(vm_id):
                task = asyncio.create_task(self._notify_entry(vm_id))
                self._tasks_by_vm[vm_id] = task

    def _pending(self, vm_id):
        """Return the crashes that an entry has not acknowledged."""
        oldest_at = self._clock() - quarantines.LONG_PAUSE_S
        self._observed_at_by_crash = {
            crash: at
            for crash, at in self._observed_at_by_crash.items()
            if at > oldest_at
        }
        delivered = self._delivered(vm_id, self._incarnation(vm_id))
        return tuple(
            crash
            for crash in self._observed_at_by_crash
            if crash not in delivered
        )

    def _incarnation(self, vm_id):
        return self._cluster_state.incarnations_by_vm.get(vm_id, "")

    def _delivered(self, vm_id, incarnation):
        """Return the crashes that an incarnation of an entry acknowledged."""
        delivered = self._delivered_by_vm.get(vm_id, _NONE_DELIVERED)
        return (
            delivered.crashes
            if delivered.incarnation == incarnation
            else frozenset()
        )

    async def _notify_entry(self, vm_id):
        """Send an entry the crashes that it lacks until none is left.

        Ends early if the entry is no longer live; `entries_changed` starts
        again once it is back.
        """
        delays_s = retry_delays_s()
        try:
            while self._is_live(vm_id) and (pending := self._pending(vm_id)):
                incarnation = self._incarnation(vm_id)
                try:
                    await self._send(vm_id, pending)
                except exceptions.AnvilwellError as error:
                    self._log_failure(vm_id, pending, error.message)
                    await asyncio.sleep(next(delays_s))
                else:
                    self._record_delivery(vm_id, incarnation, pending)
                    delays_s = retry_delays_s()
        finally:
            del self._tasks_by_vm[vm_id]

    def _is_live(self, vm_id):
        return vm_id in self._cluster_state.addresses_by_vm

    def _record_delivery(self, vm_id, incarnation, crashes):
        """Record the crashes that an entry acknowledged.

        Those that are no longer sent to anyone are dropped from the record.
        """
        delivered = self._delivered(vm_id, incarnation).intersection(
            self._observed_at_by_crash
        )
        self._delivered_by_vm[vm_id] = _Delivered(
            incarnation, delivered.union(crashes)
        )

    async def _send(self, vm_id, crashes):
        address = self._cluster_state.addresses_by_vm[vm_id]
        await peer_calls.call(
            self._pool, vm_id, address, TARGET, crashes, LIMITS
        )

    @staticmethod
    def _log_failure(vm_id, pending, cause):
        _LOG.log(
            "end-not-told",
            entry=vm_id,
            replicas=[crash.replica_id for crash in pending],
            cause=cause,
        )

    async def stop(self):
        """Cancel all notifications and close their connections."""
        await tasks.stop(*self._tasks_by_vm.values())
        self._pool.close()
