"""Fetches from other entries which requests crashed replicas.

An entry reports a crash to the entries that it knows at that time. One that
starts during an outage of the store has missed all earlier reports. It can't
register, so other entries send it no new reports either; yet it may accept
callers.
"""

import asyncio
import random

import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import crash_notifier
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/ends/known"
# Number of entries whose answers are enough. Every entry receives every crash,
# so one answer would do; the second makes up for an entry that was cut off or
# has just started itself.
ENTRIES_TO_ASK = 2
LIMITS = peer_calls.CallLimits(timeout_s=0.5, max_bytes=1 << 20)
# Limit on the number of requests in one answer; those with the most crashes
# come first.
MAX_REQUESTS = 4096


_KNOWN = pydantic.TypeAdapter(tuple[quarantines.KnownCrashes, ...])

_LOG = logs.get_logger(__name__)


class CrashSync:
    """Fetches the crashes that a few other entries have recorded.

    Parameters
    ----------
    vm_id : str
        Id of this VM, which is not queried.
    cluster_state : cluster_state.ClusterState
        The live entries and their addresses.
    apply : callable
        Called with each `quarantine.KnownCrashes`.
    """

    def __init__(self, vm_id, cluster_state, apply):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._apply = apply
        self._pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self._answered = set()
        self._task = None

    def entries_changed(self):
        """Query live entries for recorded crashes until enough answer."""
        if len(self._answered) < ENTRIES_TO_ASK and self._task is None:
            self._task = asyncio.create_task(self._ask_until_enough())

    async def _ask_until_enough(self):
        """Query live entries in turn, with waits between rounds.

        Returns once enough have answered, or once all live entries have; the
        next change of the entries starts it again.
        """
        try:
            for wait_s in crash_notifier.retry_delays_s():
                for vm_id in self._choose_entries():
                    await self._ask(vm_id)
                if not self._choose_entries():
                    return
                await asyncio.sleep(wait_s)
        finally:
            self._task = None

    def _choose_entries(self):
        """Return the entries to query next, none once enough have answered."""
        missing = ENTRIES_TO_ASK - len(self._answered)
        unasked = set(self._cluster_state.addresses_by_vm).difference(
            self._answered, (self._vm_id,)
        )
        return random.sample(sorted(unasked), min(missing, len(unasked)))

    async def _ask(self, vm_id):
        address = self._cluster_state.addresses_by_vm.get(vm_id)
        if address is None:
            return
        try:
            body = await peer_calls.call(
                self._pool, vm_id, address, TARGET, None, LIMITS
            )
            known = peer_calls.decode(_KNOWN, body, "known crashes")
        except exceptions.AnvilwellError as error:
            _LOG.log("ends-not-asked", entry=vm_id, cause=error.message)
            return
        self._answered.add(vm_id)
        for one in known:
            self._apply(one)

    async def stop(self):
        """Stop the queries and close the connections."""
        await tasks.stop(self._task)
        self._pool.close()
