"""Counts this process's requests and sends the counts for usage reports.

Counts are sent directly to the entry that holds the duty to report usage, so
they cause no calls to the store. Each notification holds the full counts of
all windows that can still be reported. So it can be repeated, to the same
holder or the next one.
"""

import asyncio
import math
import time

import cbor2
import pydantic

from anvilwell_decisions.duties import usage
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/usage"
# Seconds between checks whether a notification is due.
POLL_INTERVAL_S = 0.25
# Longest time in seconds until the holder is notified of a request. If a
# process is killed, the requests of which it had not notified the holder are
# missing in the report.
NOTIFY_INTERVAL_S = 1.0
# Seconds after a window's end when its counts are sent as complete. Most
# requests that began in the window have a response or a first event by then.
WINDOW_CLOSE_DELAY_S = 0.6
CALL_LIMITS = peer_calls.CallLimits(timeout_s=0.5, max_bytes=4 << 10)

_COUNTS_ADAPTER = pydantic.TypeAdapter(usage.ProcessCounts)
_TRUE_TIME_ADAPTER = pydantic.TypeAdapter(float | None)

_LOG = logs.get_logger(__name__)


def decode_counts(body):
    """Decode the `usage.ProcessCounts` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If the body can't be decoded.
    """
    return peer_calls.decode(_COUNTS_ADAPTER, body, "counts")


class UsageNotifier:
    """Counts the requests of this process and sends them to the holder.

    Parameters
    ----------
    presence : presence.Presence
        The registration of this process.
    cluster_state : cluster_state.ClusterState
        The addresses of other entries.
    duty : duty_election.Duty
        The duty to report usage, with its holder.
    accept_counts : callable
        Called with the counts if this process is the holder; returns true
        time.
    settings : config.UsageSection
        The length of windows and the time until their reports are due.
    wall_time : callable, optional
        Returns the Unix time by this VM's clock, in seconds.
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
        self._pool = connection_pool.Pool(self._clock, True)
        self._request_counter = usage.RequestCounter()
        self._offset_s = wall_time() - self._started_at
        self._notified_at = float("-inf")
        self._notified_holder = None
        self._sequence = 0
        self._is_changed = False
        self._task = None

    def count_request(self, organisation, at):
        """Count a request that a replica started at loop time `at`."""
        if organisation:
            self._request_counter.add(organisation, at)
            self._is_changed = True

    def start(self):
        """Start to notify the holder at intervals."""
        self._task = asyncio.create_task(self._notify_forever())

    async def stop(self):
        """Send a last notification and stop."""
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
        """Return whether a notification to the holder is due."""
        if holder != self._notified_holder:
            return True
        now = self._clock()
        if self._is_changed and now - self._notified_at >= NOTIFY_INTERVAL_S:
            return True
        return self._first_open_window(now) > self._first_open_window(
            self._notified_at
        )

    def _first_open_window(self, at):
        """Return the first window that is not complete at loop time `at`."""
        if math.isinf(at):
            return 0
        return math.floor(
            (at + self._offset_s - WINDOW_CLOSE_DELAY_S) / self._window_s
        )

    async def _notify(self, holder):
        """Send the counts of all windows that can still be reported.

        The holder's response sets this process's offset to true time.
        Return whether the holder accepted the counts.
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
            # The holder read the time half a round trip ago.
            self._offset_s = true_time - (now + self._clock()) / 2
        return True

    async def _fetch_true_time(self, holder, counts):
        if holder == self._presence.vm_id:
            return self._accept_counts(counts)
        address = self._cluster_state.addresses_by_vm.get(holder)
        if address is None:
            raise exceptions.Refused("the holder has no known address")
        body = await peer_calls.call(
            self._pool, holder, address, TARGET, counts, CALL_LIMITS
        )
        return peer_calls.decode(_TRUE_TIME_ADAPTER, body, "true time")


def encode_true_time(true_time):
    """Encode the response to counts; see `UsageReporter.accept_counts`."""
    return cbor2.dumps(true_time)
