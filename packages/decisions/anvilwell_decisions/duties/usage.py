"""Counts the requests of each organisation by window of true time."""

import collections
import math
import statistics
import typing

# Length of the slices of local time by which requests are counted, in seconds.
# The slices are assigned to usage windows once true time is known, so the
# bounds of a window are exact to one slice.
SLICE_S = 0.01


class WindowCounts(typing.NamedTuple):
    """The requests that one process counted in one window."""

    window: int
    by_organisation: dict[str, int]


class ProcessCounts(typing.NamedTuple):
    """The request counts that a process sends to the VM with the usage duty.

    ``number`` increases with each message. The message covers all windows from
    ``since`` to ``through``, in seconds of true time; a window that is not in
    ``counts`` had no request. ``wall_time`` is the time of day by the clock of
    the process, and ``life`` its incarnation.
    """

    vm_id: str
    life: str
    number: int
    wall_time: float
    since: float
    through: float
    counts: tuple[WindowCounts, ...]


class WindowReport(typing.NamedTuple):
    """The usage of one window as it is reported to the platform, once."""

    window: int
    by_organisation: dict[str, int]


class Ledger(typing.NamedTuple):
    """The state of the usage duty, which its holders keep in the store.

    Windows up to ``last`` are settled. The reports in ``reports`` may be sent
    again, without any change; other settled windows are never sent again.
    ``told`` holds the counts that a holder had collected when it stopped.
    """

    last: int = 0
    reports: tuple[WindowReport, ...] = ()
    told: tuple[ProcessCounts, ...] = ()


class RequestCounter:
    """Counts the requests that began in this process."""

    def __init__(self):
        self._by_slice = collections.defaultdict(collections.Counter)

    def add(self, organisation, at):
        """Count a request that began at local time `at`, in seconds."""
        self._by_slice[math.floor(at / SLICE_S)][organisation] += 1

    def forget(self, before):
        """Drop the requests that began before local time `before`."""
        old = [one for one in self._by_slice if one * SLICE_S < before]
        for one in old:
            del self._by_slice[one]

    def counts(self, offset_s, window_s):
        """Return the `WindowCounts` of all windows with requests.

        Parameters
        ----------
        offset_s : float
            True time minus local time.
        window_s : float
            Length of a window.
        """
        by_window = collections.defaultdict(collections.Counter)
        for one, counted in self._by_slice.items():
            at = (one + 0.5) * SLICE_S + offset_s
            by_window[math.floor(at / window_s)].update(counted)
        return tuple(
            WindowCounts(window, dict(counted))
            for window, counted in sorted(by_window.items())
        )


class CollectedCounts:
    """The counts received from processes, and the usage that results."""

    def __init__(self, window_s):
        self._window_s = window_s
        self.counts_by_incarnation = {}

    def bounds(self, window):
        """Return the start and end of a window, in seconds of true time."""
        return window * self._window_s, (window + 1) * self._window_s

    def add(self, received):
        """Add `ProcessCounts`; they replace earlier ones of the process."""
        known = self.counts_by_incarnation.get(received.life)
        if known is None or received.number >= known.number:
            self.counts_by_incarnation[received.life] = received

    def forget(self, before):
        """Drop request counts that end before true time `before`."""
        self.counts_by_incarnation = {
            incarnation: received
            for incarnation, received in self.counts_by_incarnation.items()
            if received.through >= before
        }

    def is_known(self, window):
        """Return whether some process counted during the whole window.

        If all VMs were lost during the window, no process did. The number of
        requests that began before the loss is then unknown, and is not
        estimated.
        """
        start, end = self.bounds(window)
        return any(
            received.since <= start and received.through >= end
            for received in self.counts_by_incarnation.values()
        )

    def is_complete(self, window, incarnations):
        """Return whether all `incarnations` reported the whole window."""
        _, end = self.bounds(window)
        return all(
            incarnation in self.counts_by_incarnation
            and self.counts_by_incarnation[incarnation].through >= end
            for incarnation in incarnations
        )

    def report(self, window):
        """Return the `WindowReport` of a window."""
        total = collections.Counter()
        for received in self.counts_by_incarnation.values():
            for counts in received.counts:
                if counts.window == window:
                    total.update(counts.by_organisation)
        return WindowReport(window, dict(total))


def add_report(ledger, report, max_reports):
    """Return `ledger` with `report` added and the last `max_reports` kept.

    Counts that an earlier holder had collected are dropped once all of their
    windows are settled.
    """
    reports = (*ledger.reports, report)[-max_reports:]
    told = tuple(
        one
        for one in ledger.told
        if any(counts.window > report.window for counts in one.counts)
    )
    return Ledger(report.window, reports, told)


class TrueTime:
    """Estimates true time from the clocks of many VMs.

    The clock of one VM may be wrong by seconds, and may jump. The median of
    the offsets of all clocks to the local monotonic clock is right as long as
    most clocks are.
    """

    def __init__(self):
        self._offsets_by_vm = {}

    def record(self, vm_id, wall_time, now):
        """Record the time that a VM's clock showed at local time `now`."""
        self._offsets_by_vm[vm_id] = (wall_time - now, now)

    def forget(self, before):
        """Drop clock readings from before local time `before`."""
        self._offsets_by_vm = {
            vm_id: reading
            for vm_id, reading in self._offsets_by_vm.items()
            if reading[1] >= before
        }

    def is_known(self, live_vms):
        """Return whether the clocks of most of `live_vms` VMs were read."""
        return 2 * len(self._offsets_by_vm) > live_vms

    @property
    def offset_s(self):
        """True time minus local time, in seconds."""
        offsets = [offset for offset, _ in self._offsets_by_vm.values()]
        return statistics.median(offsets)
