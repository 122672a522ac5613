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
POLL_INTERVAL_S = 0.25
# What began is told within so long, in seconds: what a process that is
# killed has not told is missing in a report.
NOTIFY_INTERVAL_S = 1.0
# A window is told as whole so long after its end, in seconds: most of what
# began in it has an answer by then, or its first event.
WINDOW_CLOSE_DELAY_S = 0.6
CALL_LIMITS = peer_calls.CallLimits(timeout_s=0.5, max_bytes=4 << 10)

_COUNTS_ADAPTER = pydantic.TypeAdapter(usage.ProcessCounts)
_TRUE_TIME_ADAPTER = pydantic.TypeAdapter(float | None)

_LOG = logs.get_logger(__name__)


def decode_counts(body):
    """Return the `usage.ProcessCounts` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_COUNTS_ADAPTER, body, "counts")


class UsageNotifier:
    """Counts here and tells the holder.

    Parameters
    ----------
    presence : presence.Presence
        This process.
    cluster_state : cluster_state.ClusterState
        Where other processes are.
    duty : duty_election.Duty
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
        accept_counts,
        settings,
        wall_time=time.time,
    ):
        self._wall_time = wall_time
        self._presence = presence
        self._cluster_state = cluster_state
        self._duty = duty
        self._accept_counts = accept_counts
        self._window_s = settings.window_s
        self._retention_s = settings.window_s + settings.late_s
        self._clock = asyncio.get_running_loop().time
        self._started_at = self._clock()
        self._pool = client.Pool(self._clock, True)
        self._request_counter = usage.RequestCounter()
        self._offset_s = wall_time() - self._started_at
        self._notified_at = float("-inf")
        self._notified_holder = None
        self._sequence = 0
        self._is_changed = False
        self._task = None

    def count_request(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""
        if organisation:
            self._request_counter.add(organisation, at)
            self._is_changed = True

    def start(self):
        """Begin to tell."""
        self._task = asyncio.create_task(self._notify_forever())

    async def stop(self):
        """Tell no more, after a last time."""
        task, self._task = self._task, None
        if task:
            await tasks.stop(task)
            await self._notify(self._duty.holder)
        self._pool.close()

    async def _notify_forever(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            holder = self._duty.holder
            if self._is_due(holder) and not await self._notify(holder):
                await asyncio.sleep(NOTIFY_INTERVAL_S)

    def _is_due(self, holder):
        """Return whether the holder lacks something that it should know."""
        if holder != self._notified_holder:
            return True
        now = self._clock()
        if self._is_changed and now - self._notified_at >= NOTIFY_INTERVAL_S:
            return True
        return self._first_open_window(now) > self._first_open_window(
            self._notified_at
        )

    def _first_open_window(self, at):
        """Return the first window that is not over at loop time `at`."""
        if math.isinf(at):
            return 0
        return math.floor(
            (at + self._offset_s - WINDOW_CLOSE_DELAY_S) / self._window_s
        )

    async def _notify(self, holder):
        """Tell all that is not reported yet, and learn true time.

        Return whether it was taken.
        """
        if holder is None:
            return False
        now = self._clock()
        self._sequence += 1
        self._request_counter.forget(now - self._retention_s)
        counts = usage.ProcessCounts(
            self._presence.vm_id,
            self._presence.incarnation,
            self._sequence,
            self._wall_time(),
            self._started_at + self._offset_s,
            now + self._offset_s,
            self._request_counter.counts(self._offset_s, self._window_s),
        )
        self._is_changed = False
        try:
            true_time = await self._fetch_true_time(holder, counts)
        except exceptions.AnvilwellError as error:
            self._is_changed = True
            self._notified_holder = None
            _LOG.log("usage-not-told", holder=holder, cause=error.message)
            return False
        self._notified_holder = holder
        self._notified_at = now
        if true_time is not None:
            # It was true half a round trip ago.
            self._offset_s = true_time - (now + self._clock()) / 2
        return True

    async def _fetch_true_time(self, holder, counts):
        if holder == self._presence.vm_id:
            return self._accept_counts(counts)
        address = self._cluster_state.addresses_by_vm.get(holder)
        if address is None:
            raise exceptions.Refused("the holder is not known to live")
        body = await peer_calls.call(
            self._pool, holder, address, TARGET, counts, CALL_LIMITS
        )
        return peer_calls.decode(_TRUE_TIME_ADAPTER, body, "true time")


def encode_true_time(true_time):
    """Return the body that answers what was told; see `UsageReporter.hear`."""
    return cbor2.dumps(true_time)
