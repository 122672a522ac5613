"""Asks which entry may try a request that has ended replicas.

Two entries, chosen by the request's fingerprint, know the trial under way;
the others ask both, a message before and one after. One that has left or has
just come moves only one of the two, so whoever asks meanwhile, or knows other
entries, still asks one that knows. Where they can't be asked, the request
waits: its pause grows by what a lease or a cut link takes.
"""

import asyncio
import contextlib
import itertools
import typing

import pydantic

from anvilwell_decisions.duties import choice
from anvilwell_decisions.requests import trials
from anvilwell_gateway.http import client
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/trials"
DECIDERS = 2
# An entry answers within milliseconds, and the caller's time runs.
LIMITS = peer_calls.CallLimits(timeout_s=0.2, max_bytes=4 << 10)


class TrialRequest(typing.NamedTuple):
    """That `trier` wants to try a request, or is done with it.

    ``replica_ids`` are all that it knows to have ended under the request.
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
        If it holds none.
    """
    return peer_calls.decode(_TRIAL_REQUEST, body, "trial")


class Trials:
    """Asks for trials, and grants them where this entry decides.

    Parameters
    ----------
    vm_id : str
        This VM.
    news : news.News
        The entries that live, and where.
    quarantine : quarantine.Quarantine
        What has ended under which request.
    """

    def __init__(self, vm_id, news, quarantine):
        self._vm_id = vm_id
        self._news = news
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._pool = client.Pool(self._loop.time, True)
        self._trials = trials.Trials()
        self._numbers = itertools.count(1)
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def trial(self, fingerprint):
        """Give how long a request must wait, 0 if it may be tried now."""
        trier = f"{self._vm_id}/{next(self._numbers)}"
        granted = []
        try:
            yield await self._begin(fingerprint, trier, granted)
        finally:
            task = asyncio.create_task(self._end(fingerprint, trier, granted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _begin(self, fingerprint, trier, granted):
        """Return how long to wait, in seconds.

        Who grants the trial is added to `granted`. All ask the first one
        first: of two that ask at once one gets both.
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
        """Tell those that granted a trial that it is over."""
        for decider in granted:
            await self._ask_decider(decider, fingerprint, trier, True)

    def _deciders(self, fingerprint):
        """Return who decides, this entry alone if it knows no other."""
        vm_ids = choice.ranked(
            f"try {fingerprint}", self._news.addresses_by_vm
        )
        return vm_ids[:DECIDERS] or [self._vm_id]

    async def _ask_decider(self, decider, fingerprint, trier, is_over):
        """Return how long one decider has the request wait, in seconds."""
        replica_ids = self._quarantine.replica_ids(fingerprint)
        request = TrialRequest(
            fingerprint, trier, is_over, tuple(sorted(replica_ids))
        )
        if decider == self._vm_id:
            return self.decide(request)
        address = self._news.addresses_by_vm.get(decider)
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
        """Return how long a `TrialRequest` must wait, in seconds."""
        now = self._loop.time()
        fingerprint = request.fingerprint
        self._quarantine.add_crashes(fingerprint, request.replica_ids, now)
        if request.is_over:
            self._trials.end(fingerprint, request.trier)
            return 0.0
        wait_s = self._quarantine.wait_s(fingerprint, now)
        return wait_s or self._trials.begin(fingerprint, request.trier, now)

    async def stop(self):
        """Tell nobody more."""
        await tasks.stop(*self._tasks)
        self._pool.close()
