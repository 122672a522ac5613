"""Which waiting item runs next, and at which replica."""

import collections
import statistics
import typing

# A replica that refused an item gets no other for so long. Engines that
# load weights refuse for about a second.
REFUSED_PAUSE_S = 0.15
# A replica that broke a run gets none for so long: it goes on elsewhere
# if it can, and one bad answer in fifty is no reason to leave a replica.
BROKEN_PAUSE_S = 0.1
# A replica that can't be reached or fell silent gets none for so long.
SILENT_PAUSE_S = 1.0
# A replica's pace is the median of so many gaps between events. Pauses of
# all its runs at once, as for new weights, are few gaps and do not count;
# a replica that turns slow shows within about half a second.
PACE_GAPS = 32
# Gaps after which a replica's pace is believed.
PACE_LEAST_GAPS = 8
# A pace that nothing has confirmed for so long is believed no more, so
# that a replica that was slow is tried again.
PACE_AGE_S = 5.0
# Paces within a sixth of each other count as even; replicas of one
# service differ by about a third, slow ones by a factor of three.
PACE_STEPS = 6
# A run moves if that saves so much of its time. A move costs a prompt
# to be read again, some 10 ms, and the gain is an estimate.
MOVE_GAIN_S = 0.2
# Paces closer than this are noise: they differ by 3% with the load.
MOVE_RATIO = 1.2
# Events that a run is expected to have left at most.
MOST_EVENTS_LEFT = 100


class Work(typing.NamedTuple):
    """A waiting item; lower ``rank`` goes first."""

    rank: tuple
    batch_id: str
    item_id: str
    group: str
    service: str
    model: str
    min_version: int


class Worker:
    """What is known of one replica."""

    def __init__(self, replica):
        self.replica = replica
        self.running = 0
        self.not_before = 0.0
        self._gaps = collections.deque(maxlen=PACE_GAPS)
        self._paced_at = 0.0
        self._pace_s = None
        self._version_by_model = {}
        self.saw_versions(replica.versions)

    @property
    def load(self):
        """Share of the slots that our own runs take."""
        return self.running / max(1, self.replica.slots)

    @property
    def room(self):
        """How many more items would start at once."""
        return max(1, self.replica.slots) - self.running

    def saw_versions(self, versions):
        """Take in `facts.ModelVersion`s; they only rise."""
        for model, version in versions:
            known = self._version_by_model.get(model, 0)
            self._version_by_model[model] = max(known, version)

    def may_have(self, model, min_version):
        """Return whether `model` is not known to be too old here."""
        known = self._version_by_model.get(model, 0)
        return not known or known >= min_version

    def takes(self, model, min_version):
        """Return whether a new item for `model` would start here."""
        is_loading = model in self.replica.loading
        return not is_loading and self.may_have(model, min_version)

    def saw_gap(self, gap_s, now):
        """Take in the time between two events of one run."""
        if now - self._paced_at > PACE_AGE_S:
            self._gaps.clear()
        self._gaps.append(gap_s)
        self._paced_at = now
        self._pace_s = None

    def pace(self, now):
        """Return seconds for an event, or None if that is not known."""
        is_old = now - self._paced_at > PACE_AGE_S
        if is_old or len(self._gaps) < PACE_LEAST_GAPS:
            return None
        if self._pace_s is None:
            self._pace_s = statistics.median(self._gaps)
        return self._pace_s


class Run(typing.NamedTuple):
    """A run under way; ``events`` is what it has made itself."""

    batch_id: str
    item_id: str
    replica_id: str
    events: int
    service: str
    model: str
    min_version: int


class Dispatch:
    """Chooses replicas for the items of one holder's batches."""

    def __init__(self):
        self._workers_by_id = {}

    def worker(self, replica_id):
        """Return the `Worker` of a replica, or None."""
        return self._workers_by_id.get(replica_id)

    def set_replicas(self, replicas):
        """Take the replicas that may be used now."""
        known = self._workers_by_id
        self._workers_by_id = {
            replica.replica_id: self._renewed(
                known.get(replica.replica_id), replica
            )
            for replica in replicas
        }

    def change(self, replica_id, replica):
        """Take what one replica is now, None if it may not be used."""
        worker = self._workers_by_id.get(replica_id)
        if replica is None:
            self._workers_by_id.pop(replica_id, None)
        else:
            self._workers_by_id[replica_id] = self._renewed(worker, replica)

    @staticmethod
    def _renewed(worker, replica):
        if worker is None:
            return Worker(replica)
        worker.replica = replica
        worker.saw_versions(replica.versions)
        return worker

    def choose(self, work, now):
        """Return the replica's id for one `Work`, or None for now.

        Work comes with the longest items first, so these get the fast
        replicas, and the short ones what is left.
        """
        able = [
            worker
            for worker in self._workers_by_id.values()
            if _may_take(worker, work, now)
        ]
        if not able:
            return None
        paces = [worker.pace(now) for worker in able]
        fastest_s = min((p for p in paces if p is not None), default=0.0)
        best = min(able, key=lambda one: _cost(one, fastest_s, now))
        return best.replica.replica_id

    def moves(self, runs, now):
        """Return the `Run`s that should go on at a faster replica.

        What a run has left is not known. Lengths have a long tail, so
        it is taken to be as much as it has made.
        """
        found = []
        rooms_by_id = {}
        for run in sorted(runs, key=lambda one: -one.events):
            worker = self._workers_by_id.get(run.replica_id)
            pace_s = worker and worker.pace(now)
            if not pace_s:
                continue
            target = self._faster(run, now, rooms_by_id)
            if target is None:
                continue
            faster_s = target.pace(now)
            left = min(run.events, MOST_EVENTS_LEFT)
            is_worth = left * (pace_s - faster_s) > MOVE_GAIN_S
            if is_worth and pace_s > MOVE_RATIO * faster_s:
                rooms_by_id[target.replica.replica_id] -= 1
                found.append(run)
        return found

    def _faster(self, run, now, rooms_by_id):
        """Return the fastest replica with room for `run`, or None."""
        able = [
            worker
            for worker in self._workers_by_id.values()
            if worker.replica.replica_id != run.replica_id
            and worker.pace(now)
            and _may_take(worker, run, now)
            and rooms_by_id.setdefault(worker.replica.replica_id, worker.room)
            > 0
        ]
        return min(able, key=lambda one: one.pace(now), default=None)


def _may_take(worker, work, now):
    replica = worker.replica
    return (
        replica.service == work.service
        and not replica.is_draining
        and worker.room > 0
        and worker.not_before <= now
        and worker.takes(work.model, work.min_version)
    )


def _cost(worker, fastest_s, now):
    pace_s = worker.pace(now)
    step = PACE_STEPS
    if pace_s is not None and fastest_s:
        step = int(pace_s / fastest_s * PACE_STEPS)
    return (step, worker.load, worker.replica.replica_id)
