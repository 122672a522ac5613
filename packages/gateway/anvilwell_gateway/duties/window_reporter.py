"""Reports usage by time window, as the holder of the duty to do so.

A report is written to the ledger in the store before it is sent. The
ledger is replaced only if it is still the one that the holder has read. So
two processes that both act as the holder can't record different reports of
one window. Whichever process sends a report later, this one or the next
holder, sends the recorded one.
"""

import asyncio
import math
import time

import cbor2
import pydantic

from anvilwell_decisions.duties import usage
from anvilwell_gateway import measures
from anvilwell_gateway import peer_calls
from anvilwell_gateway import store as stores
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

LEDGER_KEY = "anvilwell/usage/ledger"
# Seconds between checks whether a report is due.
POLL_INTERVAL_S = 0.25
# Seconds after a window's end when it is reported if all live processes have
# sent their counts. Callers wait for about two seconds, and a request may be
# counted only when its response arrives.
REPORT_DELAY_S = 2.0
# Seconds after a window's end when it is reported although some live
# processes have not sent counts of the whole window; they may be cut off.
MAX_REPORT_DELAY_S = 5.0
# Age in seconds at which the clock reading of a VM no longer counts towards
# true time.
CLOCK_RETENTION_S = 20.0
# Longest time in seconds to find out the result of a write.
WRITE_TIMEOUT_S = 2.0

_LEDGER_ADAPTER = pydantic.TypeAdapter(usage.Ledger)

_LOG = logs.get_logger(__name__)


class UsageReporter:
    """Collects the counts of all processes and reports each window once.

    Parameters
    ----------
    store : store.AsyncStore
        The store that has the ledger.
    presence : presence.Presence
        The registration of this process.
    cluster_state : cluster_state.ClusterState
        The live entries.
    duty : duty_election.Duty
        The duty to report usage, with its holder.
    platform : usage_platform.UsagePlatform
        Receives the reports.
    settings : config.UsageSection
        The length of windows and the time until their reports are due.
    wall_time : callable, optional
        Returns the Unix time by this VM's clock, in seconds.
    """

    def __init__(
        self,
        store,
        presence,
        cluster_state,
        duty,
        platform,
        settings,
        wall_time=time.time,
    ):
        self._wall_time = wall_time
        self._store = store
        self._presence = presence
        self._cluster_state = cluster_state
        self._duty = duty
        self._platform = platform
        self._window_s = settings.window_s
        self._late_s = settings.late_s
        self._clock = asyncio.get_running_loop().time
        self._collected = usage.CollectedCounts(settings.window_s)
        self._true_time = usage.TrueTime()
        self._loaded_tenure = None
        self._ledger = usage.Ledger()
        self._revision = 0
        self._unsent = []
        self._task = None

    def accept_counts(self, counts):
        """Add a `usage.ProcessCounts`; return true time, None if unknown.

        Raises
        ------
        exceptions.Refused
            If this process does not hold the duty or has released it.
        """
        is_holder = self._duty.holder == self._presence.vm_id
        if self._task is None or not is_holder:
            raise exceptions.Refused("this VM does not report usage")
        self._true_time.record(counts.vm_id, counts.wall_time, self._clock())
        self._collected.add(counts)
        return self._true_time_now() if self._is_time_known() else None

    def start(self):
        """Start to report the windows that are due."""
        self._task = asyncio.create_task(self._poll_forever())

    async def stop(self):
        """Stop reporting and leave the counts in the ledger.

        The next holder reads them there.
        """
        task, self._task = self._task, None
        if task is None:
            return
        await tasks.stop(task)
        if self._loaded_tenure is None:
            if self._duty.tenure:
                cause = "the ledger was being read or written"
                _LOG.log("usage-not-left", cause=cause)
            return
        counts = tuple(self._collected.counts_by_incarnation.values())
        try:
            await self._write(self._ledger._replace(told=counts))
        except exceptions.AnvilwellError as error:
            _LOG.log("usage-not-left", cause=error.message)

    def gauge_values(self):
        """Return the gauges of the duty and of the reports not yet sent."""
        tenure = self._duty.tenure
        return [
            measures.GaugeValue("reports_usage", tenure is not None),
            measures.GaugeValue("reports_unsent", len(self._unsent)),
        ]

    def _is_time_known(self):
        """Return whether the clocks of most live VMs have been received.

        Until then a wrong clock could set true time. A new holder receives
        all other clocks within about a second.
        """
        self._true_time_now()
        return self._true_time.is_known(
            len(self._cluster_state.incarnations_by_vm)
        )

    def _true_time_now(self):
        now = self._clock()
        self._true_time.record(self._presence.vm_id, self._wall_time(), now)
        self._true_time.forget(now - CLOCK_RETENTION_S)
        return now + self._true_time.offset_s

    async def _poll_forever(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._duty.tenure is None:
                self._loaded_tenure = None
                continue
            if not self._is_time_known():
                continue
            try:
                await self._report_due_windows(self._duty.tenure)
            except exceptions.Fenced as error:
                # The previous holder may have a call under way, or this
                # process's lease may have ended. A later check shows which.
                _LOG.routine("usage-waits", cause=error.message)
            except exceptions.AnvilwellError as error:
                _LOG.log("usage-not-reported", cause=error.message)

    async def _report_due_windows(self, tenure):
        """Record the windows that are due, then send all recorded reports."""
        if self._loaded_tenure is not tenure:
            await self._load(tenure)
        self._collected.forget(self._true_time_now() - 2 * self._late_s)
        tenure.check()
        for window in self._due_windows():
            await self._record(window)
        await self._send(tenure)

    async def _load(self, tenure):
        """Load the ledger that previous holders have written."""
        entry = await self._store.get(LEDGER_KEY)
        self._read_ledger(entry)
        for counts in self._ledger.told:
            self._collected.add(counts)
        self._unsent = list(self._ledger.reports)
        self._loaded_tenure = tenure

    def _read_ledger(self, entry):
        self._revision = entry.revision if entry else 0
        self._ledger = usage.Ledger()
        if entry is not None:
            self._ledger = peer_calls.decode(
                _LEDGER_ADAPTER, entry.value, "ledger"
            )

    def _due_windows(self):
        """Return the windows to record now, in order."""
        now = self._true_time_now()
        first = math.floor((now - self._late_s) / self._window_s)
        first = max(first, self._ledger.last + 1)
        due = []
        for window in range(first, math.floor(now / self._window_s)):
            if not self._is_due(window, now):
                break
            if self._collected.is_known(window):
                due.append(window)
            else:
                _LOG.routine("usage-not-known", window=window)
        return due

    def _is_due(self, window, now):
        _, end = self._collected.bounds(window)
        incarnations = self._cluster_state.incarnations_by_vm.values()
        is_whole = self._collected.is_complete(window, incarnations)
        return now >= end + (
            REPORT_DELAY_S if is_whole else MAX_REPORT_DELAY_S
        )

    async def _record(self, window):
        report = self._collected.report(window)
        kept = math.ceil(self._late_s / self._window_s) + 1
        await self._write(usage.add_report(self._ledger, report, kept))
        self._unsent.append(report)
        _LOG.log(
            "usage-recorded",
            window=window,
            requests=sum(report.by_organisation.values()),
            organisations=len(report.by_organisation),
            processes=len(self._collected.counts_by_incarnation),
        )

    async def _write(self, ledger):
        """Replace the ledger if it is still the one that was read.

        Raises
        ------
        exceptions.AnvilwellError
            If another process has changed it, or the result is unknown. The
            ledger is loaded again in that case.
        """
        value = cbor2.dumps(ledger)
        swap = keyvalue.Swap(LEDGER_KEY, self._revision, value)
        self._loaded_tenure, tenure = None, self._loaded_tenure
        result = await stores.swap_until_known(
            self._store, [swap], WRITE_TIMEOUT_S
        )
        entry = result.entries_by_key.get(LEDGER_KEY)
        is_ours = entry is not None and entry.value == value
        if not (result.landed or is_ours):
            raise exceptions.Conflict(
                "another process has changed the usage ledger"
            )
        self._revision = result.revision if result.landed else entry.revision
        self._ledger = ledger
        self._loaded_tenure = tenure

    async def _send(self, tenure):
        """Send the recorded reports that have not been acknowledged."""
        while self._unsent:
            report = self._unsent[0]
            _, end = self._collected.bounds(report.window)
            if self._true_time_now() > end + self._late_s:
                _LOG.log("usage-too-late", window=report.window)
            else:
                await self._platform.report_usage(report, tenure)
                _LOG.log("usage-reported", window=report.window)
            self._unsent.pop(0)
