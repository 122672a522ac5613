"""How many requests each organisation began in each window of true time."""

import collections
import math
import statistics
import typing

# Requests are counted by slices of the local clock, and put into windows
# once true time is known. A window's edge is as exact as a slice.
SLICE_S = 0.01


class WindowCounts(typing.NamedTuple):
    """What one process counted in one window."""

    window: int
    by_organisation: dict[str, int]


class ProcessCounts(typing.NamedTuple):
    """What a process tells of its counts, for the ``number``-th time.

    All windows from ``since`` to ``through``, in seconds of true time, are
    covered; one that is not in ``counts`` had no request. ``wall_time`` is
    what its own clock of the day said.
    """

    vm_id: str
    life: str
    number: int
    wall_time: float
    since: float
    through: float
    counts: tuple[WindowCounts, ...]


class WindowReport(typing.NamedTuple):
    """What the platform is told of one window, once and for all."""

    window: int
    by_organisation: dict[str, int]


class Ledger(typing.NamedTuple):
    """What every holder of the duty must know, as it lies in the store.

    Windows up to ``last`` are settled: those in ``reports`` may be sent
    again just so, others never. ``told`` is what a holder that stopped
    had gathered.
    """

    last: int = 0
    reports: tuple[WindowReport, ...] = ()
    told: tuple[ProcessCounts, ...] = ()


class RequestCounter:
    """Counts the requests that began here."""

    def __init__(self):
        self._by_slice = collections.defaultdict(collections.Counter)

    def add(self, organisation, at):
        """Count a request that began at local time `at`, in seconds."""
        self._by_slice[math.floor(at / SLICE_S)][organisation] += 1

    def forget(self, before):
        """Drop what began before local time `before`."""
        old = [one for one in self._by_slice if one * SLICE_S < before]
        for one in old:
            del self._by_slice[one]

    def counts(self, offset_s, window_s):
        """Return the `WindowCounts` of all windows that are not empty.

        Parameters
        ----------
        offset_s : float
            True time less local time.
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
    """What processes have told, and what follows for each window."""

    def __init__(self, window_s):
        self._window_s = window_s
        self.counts_by_incarnation = {}

    def bounds(self, window):
        """Return when a window starts and ends, in seconds of true time."""
        return window * self._window_s, (window + 1) * self._window_s

    def add(self, told):
        """Take what a process tells; it replaces what it told before."""
        known = self.counts_by_incarnation.get(told.life)
        if known is None or told.number >= known.number:
            self.counts_by_incarnation[told.life] = told

    def forget(self, before):
        """Drop what ended before true time `before`."""
        self.counts_by_incarnation = {
            life: told
            for life, told in self.counts_by_incarnation.items()
            if told.through >= before
        }

    def is_known(self, window):
        """Return whether somebody counted through the whole window.

        After a loss of all VMs nobody did: what had begun before it is not
        known, and is not guessed.
        """
        start, end = self.bounds(window)
        return any(
            told.since <= start and told.through >= end
            for told in self.counts_by_incarnation.values()
        )

    def is_complete(self, window, incarnations):
        """Return whether all `incarnations` have told of the whole window."""
        _, end = self.bounds(window)
        return all(
            life in self.counts_by_incarnation
            and self.counts_by_incarnation[life].through >= end
            for life in incarnations
        )

    def report(self, window):
        """Return the `WindowReport` of a window."""
        total = collections.Counter()
        for told in self.counts_by_incarnation.values():
            for counts in told.counts:
                if counts.window == window:
                    total.update(counts.by_organisation)
        return WindowReport(window, dict(total))


def add_report(ledger, report, max_reports):
    """Return `ledger` with one report more, of which it keeps `max_reports`.

    What a holder before had gathered of settled windows goes.
    """
    reports = (*ledger.reports, report)[-max_reports:]
    told = tuple(
        one
        for one in ledger.told
        if any(counts.window > report.window for counts in one.counts)
    )
    return Ledger(report.window, reports, told)


class TrueTime:
    """Tells true time from the clocks of many VMs.

    A VM's clock of the day may be wrong by seconds, and may jump. The
    median of all offsets to the local steady clock is right as long as
    most clocks are.
    """

    def __init__(self):
        self._offsets_by_vm = {}

    def record(self, vm_id, wall_time, now):
        """Take what a VM's clock said at local time `now`."""
        self._offsets_by_vm[vm_id] = (wall_time - now, now)

    def forget(self, before):
        """Drop what was heard before local time `before`."""
        self._offsets_by_vm = {
            vm_id: reading
            for vm_id, reading in self._offsets_by_vm.items()
            if reading[1] >= before
        }

    def is_known(self, incarnations):
        """Return whether most of so many VMs that live were heard."""
        return 2 * len(self._offsets_by_vm) > incarnations

    @property
    def offset_s(self):
        """True time less local time, in seconds."""
        offsets = [offset for offset, _ in self._offsets_by_vm.values()]
        return statistics.median(offsets)
