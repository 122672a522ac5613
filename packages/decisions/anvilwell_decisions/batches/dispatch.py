"""Which waiting item runs next, and at which replica."""

import collections
import heapq
import typing

from anvilwell_decisions.batches import lengths
from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import moving
from anvilwell_decisions.batches import paces
from anvilwell_decisions.batches import shortlists
from anvilwell_decisions.batches import workers
from anvilwell_decisions.traffic import facts

# A replica that refused an item gets no other for so long. Engines that
# load weights refuse for about a second.
REFUSED_PAUSE_S = 0.15
# A replica that broke a run gets none for so long: it goes on elsewhere
# if it can, and one bad answer in fifty is no reason to leave a replica.
BROKEN_PAUSE_S = 0.1
# A replica that can't be reached or fell silent gets none for so long.
SILENT_PAUSE_S = 1.0
# Paces within a sixth of each other count as even; replicas of one
# service differ by about a third, slow ones by a factor of three.
PACE_STEPS = 6
# An item looks at the memory of so many replicas, the best by time and load.
LOOKS = 8
# An item waits for a place that frees soon if its text ends so much sooner
# than at a place that is free; when that is, is an estimate.
WAIT_GAIN_S = 0.2


class Work(typing.NamedTuple):
    """A waiting item; lower ``rank`` goes first.

    ``kind`` names the items whose lengths are alike, ``guess`` is the
    caller's one in tokens, and ``made`` what its text has, in events.
    """

    rank: tuple
    batch_id: str
    item_id: str
    group: str
    service: str
    model: str
    min_version: int
    kind: str = ""
    guess: int = 0
    made: int = 0
    prompt: facts.Prompt = facts.Prompt()


class Run(typing.NamedTuple):
    """A run under way; ``events`` is what the item's text has by now.

    ``moved`` counts how often the item was moved before.
    """

    batch_id: str
    item_id: str
    replica_id: str
    events: int
    service: str
    model: str
    min_version: int
    kind: str = ""
    guess: int = 0
    prompt: facts.Prompt = facts.Prompt()
    moved: int = 0


class Dispatch:
    """Chooses replicas for the items of one holder's batches."""

    def __init__(self):
        self._workers_by_id = {}
        self._shortlists = shortlists.Shortlists()
        # Workers with runs at the last look; each run names its own.
        self._busy = []
        self._tokens_by_service = {}
        self._spells_by_service = collections.defaultdict(paces.Spells)
        self.lengths = lengths.Lengths()
        self.mover = moving.Mover(self.lengths)

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
        self._shortlists.set_candidates(self._workers_by_id.values())

    def change(self, replica_id, replica):
        """Take what one replica is now, None if it may not be used."""
        worker = self._workers_by_id.get(replica_id)
        if replica is None:
            self._workers_by_id.pop(replica_id, None)
        else:
            self._workers_by_id[replica_id] = self._renewed(worker, replica)
        if worker is None or replica is None:
            self._shortlists.set_candidates(self._workers_by_id.values())
        else:
            self._shortlists.clear()

    def set_limits(self, limit_of):
        """Take how many places ``limit_of(replica)`` may be used."""
        for worker in self._workers_by_id.values():
            worker.limit = limit_of(worker.replica)
        self._shortlists.clear()

    def workers(self, service):
        """Return the `workers.Worker` of each replica of a service."""
        return [
            worker
            for worker in self._workers_by_id.values()
            if worker.replica.service == service
        ]

    def _renewed(self, worker, replica):
        if worker is None:
            worker = workers.Worker(
                replica, self._spells_by_service[replica.service]
            )
            worker.forget_runs(self._tokens_by_service)
        worker.replica = replica
        worker.saw_versions(replica.versions)
        return worker

    def set_runs(self, runs, tokens_by_service, now):
        """Take the `Run`s under way, and what each engine can hold.

        Parameters
        ----------
        runs : iterable of Run
            All of this holder.
        tokens_by_service : dict
            The memory of one engine of a service, in tokens; 0 if it is
            not known.
        now : float
            Monotonic time in seconds.
        """
        self._shortlists.clear()
        is_same = tokens_by_service == self._tokens_by_service
        self._tokens_by_service = tokens_by_service
        known = self._busy if is_same else self._workers_by_id.values()
        for worker in known:
            worker.forget_runs(tokens_by_service)
        self._busy = []
        for run in runs:
            worker = self._workers_by_id.get(run.replica_id)
            if worker is None:
                continue
            self._busy.append(worker)
            left = self.lengths.left(run.kind, run.guess, run.events)
            worker.memory.add(self._holding(run, run.events, left))
            if not worker.pace.is_silent(now):
                worker.ends_s.append(worker.pace.expected_s(left, now))
        for worker in self._busy:
            heapq.heapify(worker.ends_s)

    def moves(self, runs, now):
        """Return the `moves.Move`s to be made now; ``runs`` may move."""
        return self.mover.choose(runs, self._workers_by_id, now)

    def placed(self, work, replica_id):
        """Note that a `Work` was given to a replica."""
        worker = self._workers_by_id[replica_id]
        worker.running += 1
        left = self.lengths.left(work.kind, work.guess, work.made)
        worker.memory.add(self._holding(work, work.made, left))
        self._busy.append(worker)
        self.mover.budget.started()

    def _holding(self, one, made, left):
        """Return the `memory.Holding` of a `Work` or `Run`."""
        tokens = self.lengths.tokens_an_event(one.kind)
        return memory.holding(one.prompt, tokens, made, left)

    def choose(self, work, now):
        """Return the replica's id for one `Work`, or None for now.

        Work comes with the longest items first, so these get the fast
        replicas, and the short ones what is left. A long one rather waits
        for a place at a fast replica than to take a free one at a slow one.
        """
        able = self._shortlists.find(
            work.service,
            (work.service, work.model, work.min_version, now),
            lambda worker: workers.may_take(worker, work, now),
        )
        if not able:
            return None
        events = self.lengths.left(work.kind, work.guess, work.made)
        expected = [worker.pace.expected_s(events, now) for worker in able]
        known = [one for one in expected if one is not None]
        least_s = min(known, default=0.0)
        likely = heapq.nsmallest(
            LOOKS,
            (
                (_step(one, least_s), worker.load, worker.name, one, worker)
                for worker, one in zip(able, expected, strict=True)
            ),
        )
        holding = self._holding(work, work.made, events)
        *_, expected_s, best = min(likely, key=lambda one: _cost(one, holding))
        if expected_s and self._waits(work, events, expected_s, now):
            return None
        return best.name

    def _waits(self, work, events, expected_s, now):
        """Return whether an item should wait for a place that frees soon.

        If so it takes that place from what waits behind it.
        """
        full = [
            worker
            for worker in self._busy
            if worker.ends_s
            and worker.room <= 0
            and workers.may_wait(worker, work, now)
        ]
        ends_s, worker = min(
            (
                (
                    worker.ends_s[0] + worker.pace.expected_s(events, now),
                    worker,
                )
                for worker in full
            ),
            key=lambda pair: pair[0],
            default=(expected_s, None),
        )
        if ends_s + WAIT_GAIN_S > expected_s:
            return False
        heapq.heapreplace(worker.ends_s, ends_s)
        return True


def _step(expected_s, least_s):
    """Return how a replica's expected time compares with the least one."""
    if expected_s is None or not least_s:
        return PACE_STEPS
    return int(expected_s / least_s * PACE_STEPS)


def _cost(likely, holding):
    """Return what a replica is chosen by; the least goes first."""
    step, load, name, _, worker = likely
    fill = worker.memory.fill(holding)
    return (
        fill > memory.MARGIN_SHARE,
        step,
        max(load, worker.in_slots(fill)),
        not worker.memory.shares(holding.shared_id),
        name,
    )
