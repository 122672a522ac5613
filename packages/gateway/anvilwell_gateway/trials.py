"""Decides which entry may try a request that has crashed replicas.

Two entries, the deciders, are chosen by the request's fingerprint and record
the trial in progress; the others ask both before a trial and notify both
after it. An entry that leaves or joins replaces only one of the two deciders.
So an entry that asks during the change, or has another list of entries,
still asks one decider that has recorded the trial. While a decider can't be
reached the request waits, for as long as a lease takes to lapse or a broken
link to be repaired.
"""

import asyncio
import contextlib
import itertools
import typing

import pydantic

from anvilwell_decisions.duties import rendezvous
from anvilwell_decisions.requests import trials
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/trials"
# Number of entries that record the trial of a request.
DECIDERS = 2
# Limits of a request to a decider. An entry answers within milliseconds, and
# the caller of the suspect request is waiting.
LIMITS = peer_calls.CallLimits(timeout_s=0.2, max_bytes=4 << 10)


class TrialRequest(typing.NamedTuple):
    """Asks for a trial of a request, or reports that it is over.

    ``trier`` identifies the trial: its VM and a number. ``replica_ids`` are
    all replicas that the VM has recorded as crashed under the request.
    """

    fingerprint: str
    trier: str
    is_over: bool
    replica_ids: tuple[str, ...]


_TRIAL_REQUEST = pydantic.TypeAdapter(TrialRequest)
_WAIT_S = pydantic.TypeAdapter(float)

_LOG = logs.get_logger(__name__)


def read(body):
    """Return the `TrialRequest` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If the body can't be decoded.
    """
    return peer_calls.decode(_TRIAL_REQUEST, body, "trial")


class Trials:
    """Requests trials, and grants them where this entry is a decider.

    Parameters
    ----------
    vm_id : str
        The id of this VM.
    cluster_state : cluster_state.ClusterState
        The live entries and their addresses.
    quarantine : quarantine.Quarantine
        The replicas that crashed under each request.
    """

    def __init__(self, vm_id, cluster_state, quarantine):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._pool = connection_pool.Pool(self._loop.time, True)
        self._trials = trials.Trials()
        self._numbers = itertools.count(1)
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def trial(self, fingerprint):
        """Yield how long a request must wait, in seconds, 0 to try it now."""
        trier = f"{self._vm_id}/{next(self._numbers)}"
        granted = []
        try:
            yield await self._begin(fingerprint, trier, granted)
        finally:
            task = asyncio.create_task(self._end(fingerprint, trier, granted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _begin(self, fingerprint, trier, granted):
        """Ask the deciders for a trial; return how long to wait, in seconds.

        The deciders that grant it are added to `granted`. All entries ask
        them in the same order, so that one of two that ask at the same time
        is granted the trial by both.
        """
        for decider in self._deciders(fingerprint):
            wait_s = await self._ask_decider(
                decider, fingerprint, trier, False
            )
            if wait_s:
                return wait_s
            granted.append(decider)
        return 0.0

    async def _end(self, fingerprint, trier, granted):
        """Notify the deciders which granted a trial of its end."""
        for decider in granted:
            await self._ask_decider(decider, fingerprint, trier, True)

    def _deciders(self, fingerprint):
        """Return the ids of the deciders, this VM if no entry is known."""
        vm_ids = rendezvous.rank_vms(
            f"try {fingerprint}", self._cluster_state.addresses_by_vm
        )
        return vm_ids[:DECIDERS] or [self._vm_id]

    async def _ask_decider(self, decider, fingerprint, trier, is_over):
        """Send one decider a `TrialRequest`; return its wait, in seconds."""
        replica_ids = self._quarantine.replica_ids(fingerprint)
        request = TrialRequest(
            fingerprint, trier, is_over, tuple(sorted(replica_ids))
        )
        if decider == self._vm_id:
            return self.decide(request)
        address = self._cluster_state.addresses_by_vm.get(decider)
        if address is None:
            return trials.RETRY_WAIT_S
        try:
            body = await peer_calls.call(
                self._pool, decider, address, TARGET, request, LIMITS
            )
            return peer_calls.decode(_WAIT_S, body, "wait")
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "trial-not-asked",
                entry=decider,
                fingerprint=fingerprint,
                cause=error.message,
            )
            return trials.RETRY_WAIT_S

    def decide(self, request):
        """Answer a `TrialRequest` with how long to wait, in seconds."""
        now = self._loop.time()
        fingerprint = request.fingerprint
        self._quarantine.add_crashes(fingerprint, request.replica_ids, now)
        if request.is_over:
            self._trials.end(fingerprint, request.trier)
            return 0.0
        wait_s = self._quarantine.wait_s(fingerprint, now)
        return wait_s or self._trials.begin(fingerprint, request.trier, now)

    async def stop(self):
        """Cancel the notifications in progress and close the connections."""
        await tasks.stop(*self._tasks)
        self._pool.close()
