"""Counts the requests that begin here, and tells the holder of the duty.

Counts go from process to process, so they cost the store nothing. What is
told is always the whole of the windows that are not reported yet: it may
be told again, to the same holder or to the next one.
"""

import asyncio
import math
import time

import cbor2
import pydantic

from anvilwell_decisions.duties import usage
from anvilwell_gateway.http import client
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/usage"
# Between looks at what is to be told, in seconds.
LOOK_S = 0.25
# What began is told within so long, in seconds: what a process that is
# killed has not told is missing in a report.
TELL_S = 1.0
# A window is told as whole so long after its end, in seconds: most of what
# began in it has an answer by then, or its first event.
CLOSE_S = 0.6
LIMITS = peer_calls.CallLimits(timeout_s=0.5, max_bytes=4 << 10)

_TOLD = pydantic.TypeAdapter(usage.ProcessCounts)
_TRUE_TIME = pydantic.TypeAdapter(float | None)

_LOG = logs.get_logger(__name__)


def read_told(body):
    """Return the `usage.ProcessCounts` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_TOLD, body, "counts")


class Teller:
    """Counts here and tells the holder.

    Parameters
    ----------
    presence : presence.Presence
        This process.
    cluster_state : cluster_state.ClusterState
        Where other processes are.
    duty : holding.Duty
        Who the holder is.
    hear : callable
        Takes what is told if that is this process; returns true time.
    settings : config.UsageSection
        Windows and their reports.
    wall_time : callable, optional
        What this VM's clock of the day says, in seconds.
    """

    def __init__(
        self,
        presence,
        cluster_state,
        duty,
        hear,
        settings,
        wall_time=time.time,
    ):
        self._wall_time = wall_time
        self._presence = presence
        self._cluster_state = cluster_state
        self._duty = duty
        self._hear = hear
        self._window_s = settings.window_s
        self._keep_s = settings.window_s + settings.late_s
        self._clock = asyncio.get_running_loop().time
        self._started_at = self._clock()
        self._pool = client.Pool(self._clock, True)
        self._tally = usage.RequestCounter()
        self._offset_s = wall_time() - self._started_at
        self._told_at = float("-inf")
        self._told_to = None
        self._number = 0
        self._is_changed = False
        self._task = None

    def began(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""
        if organisation:
            self._tally.add(organisation, at)
            self._is_changed = True

    def start(self):
        """Begin to tell."""
        self._task = asyncio.create_task(self._tell_on())

    async def stop(self):
        """Tell no more, after a last time."""
        task, self._task = self._task, None
        if task:
            await tasks.stop(task)
            await self._tell(self._duty.holder)
        self._pool.close()

    async def _tell_on(self):
        while True:
            await asyncio.sleep(LOOK_S)
            holder = self._duty.holder
            if self._is_due(holder) and not await self._tell(holder):
                await asyncio.sleep(TELL_S)

    def _is_due(self, holder):
        """Return whether the holder lacks something that it should know."""
        if holder != self._told_to:
            return True
        now = self._clock()
        if self._is_changed and now - self._told_at >= TELL_S:
            return True
        return self._closed(now) > self._closed(self._told_at)

    def _closed(self, at):
        """Return the first window that is not over at loop time `at`."""
        if math.isinf(at):
            return 0
        return math.floor((at + self._offset_s - CLOSE_S) / self._window_s)

    async def _tell(self, holder):
        """Tell all that is not reported yet, and learn true time.

        Return whether it was taken.
        """
        if holder is None:
            return False
        now = self._clock()
        self._number += 1
        self._tally.forget(now - self._keep_s)
        told = usage.ProcessCounts(
            self._presence.vm_id,
            self._presence.incarnation,
            self._number,
            self._wall_time(),
            self._started_at + self._offset_s,
            now + self._offset_s,
            self._tally.counts(self._offset_s, self._window_s),
        )
        self._is_changed = False
        try:
            true_time = await self._true_time(holder, told)
        except exceptions.AnvilwellError as error:
            self._is_changed = True
            self._told_to = None
            _LOG.log("usage-not-told", holder=holder, cause=error.message)
            return False
        self._told_to = holder
        self._told_at = now
        if true_time is not None:
            # It was true half a round trip ago.
            self._offset_s = true_time - (now + self._clock()) / 2
        return True

    async def _true_time(self, holder, told):
        if holder == self._presence.vm_id:
            return self._hear(told)
        address = self._cluster_state.addresses_by_vm.get(holder)
        if address is None:
            raise exceptions.Refused("the holder is not known to live")
        body = await peer_calls.call(
            self._pool, holder, address, TARGET, told, LIMITS
        )
        return peer_calls.decode(_TRUE_TIME, body, "true time")


def write_true_time(true_time):
    """Return the body that answers what was told; see `Reporter.hear`."""
    return cbor2.dumps(true_time)
