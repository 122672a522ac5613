"""Which waiting item runs next, and at which replica."""

import statistics
import typing

# A replica that refused an item, or that loads weights, gets no other
# for so long; engines take about a second to load.
REFUSED_PAUSE_S = 0.2
# A replica that fell silent or broke a run gets none for so long.
BROKEN_PAUSE_S = 2.0
# Weight of a new event gap in a replica's pace.
PACE_WEIGHT = 0.1
# Events after which a replica's pace is believed.
PACE_EVENTS = 8
# A replica whose pace is over this many times the median is slow.
SLOW_RATIO = 2.0
# A group's items stay together, so that their shared prompt is read
# once, while that costs at most this share of a replica's slots.
AFFINITY_SLACK = 0.34


class Assignment(typing.NamedTuple):
    """One item to run at one replica."""

    batch_id: str
    item_id: str
    replica_id: str


class Work(typing.NamedTuple):
    """A waiting item; lower ``rank`` goes first."""

    rank: tuple
    batch_id: str
    item_id: str
    group: str
    service: str
    min_version: int


class Worker:
    """What is known of one replica."""

    def __init__(self, replica):
        self.replica = replica
        self.running = 0
        self.others = 0
        self.not_before = 0.0
        self.pace_s = 0.0
        self.events = 0
        self.version = replica.version

    @property
    def load(self):
        """Share of the slots that is taken, by us and by others."""
        return (self.running + self.others) / max(1, self.replica.slots)

    @property
    def has_room(self):
        """Whether one more item would start at once."""
        return self.running < max(1, self.replica.slots)

    def saw_gap(self, gap_s):
        """Take in the time between two events of one run."""
        weight = max(PACE_WEIGHT, 1.0 / (self.events + 1))
        self.pace_s += (gap_s - self.pace_s) * weight
        self.events += 1


class Dispatch:
    """Chooses replicas for the items of one holder's batches."""

    def __init__(self):
        self._workers_by_id = {}
        self._last_by_group = {}

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

    @staticmethod
    def _renewed(worker, replica):
        if worker is None:
            return Worker(replica)
        worker.replica = replica
        worker.version = max(worker.version, replica.version)
        return worker

    def choose(self, work, now):
        """Return the replica's id for one `Work`, or None for now."""
        able = [
            worker
            for worker in self._workers_by_id.values()
            if self._may_take(worker, work, now)
        ]
        if not able:
            return None
        sound = [one for one in able if not self.is_slow(one)] or able
        best = min(sound, key=self._cost)
        home = self._last_by_group.get((work.batch_id, work.group))
        worker = next(
            (
                one
                for one in sound
                if one.replica.replica_id == home
                and one.load <= best.load + AFFINITY_SLACK
            ),
            best,
        )
        self._last_by_group[work.batch_id, work.group] = (
            worker.replica.replica_id
        )
        return worker.replica.replica_id

    def forget(self, batch_id):
        """Forget the groups of a batch."""
        self._last_by_group = {
            key: value
            for key, value in self._last_by_group.items()
            if key[0] != batch_id
        }

    def is_slow(self, worker):
        """Return whether a replica makes events far slower than others."""
        paces = [
            one.pace_s
            for one in self._workers_by_id.values()
            if one.events >= PACE_EVENTS
        ]
        if len(paces) < 3 or worker.events < PACE_EVENTS:
            return False
        return worker.pace_s > SLOW_RATIO * statistics.median(paces)

    @staticmethod
    def _may_take(worker, work, now):
        replica = worker.replica
        is_fresh = not worker.version or worker.version >= work.min_version
        return (
            replica.service == work.service
            and not replica.is_draining
            and worker.has_room
            and worker.not_before <= now
            and is_fresh
        )

    @staticmethod
    def _cost(worker):
        return (worker.load, worker.pace_s, worker.replica.replica_id)
