"""Chooses the runs that are moved to another replica."""

import heapq

from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import moves
from anvilwell_decisions.batches import workers

# Number of replicas with a free slot that are compared for a run: the fastest
# ones. It bounds the time of the comparison.
MAX_TARGETS = 8


class MoveSelector:
    """Chooses which runs of the batches that one entry owns are moved.

    Parameters
    ----------
    lengths : lengths.LengthEstimator
        Estimates how many events a run has left.
    """

    def __init__(self, lengths):
        self._lengths = lengths
        self.budget = moves.MoveBudget()

    def choose(self, runs, workers_by_id, now):
        """Return the `moves.Move`s to make now.

        Parameters
        ----------
        runs : list of dispatch.Run
            Runs that may be moved.
        workers_by_id : dict
            The `workers.Worker`s, with their memory demand as of now.
        now : float
            Monotonic time in seconds.
        """
        if not self.budget.available:
            return []
        selection = _Selection(self._lengths, self.budget, workers_by_id, now)
        made = selection.moves(runs)
        self.budget.spend(len(made))
        return made


class _Selection:
    """One selection of moves; it counts the slots that these will take."""

    def __init__(self, lengths, budget, workers_by_id, now):
        self._lengths = lengths
        self._budget = budget
        self._workers_by_id = workers_by_id
        self._now = now
        self._targets_by_requirement = {}
        self._free_slots_by_id = {}

    def moves(self, runs):
        """Return the moves that find a free slot and are within the budget.

        Moves that relieve an engine's memory come first, then those that save
        most time.
        """
        reliefs = [relief for relief in self._reliefs(runs) if relief]
        moved = {relief.run for relief in reliefs}
        gains = [self._gain(run) for run in runs if run not in moved]
        wanted = sorted(filter(None, gains), key=lambda one: -one.gain_s)
        made = reliefs[: self._budget.available]
        for move in wanted:
            if len(made) == self._budget.available:
                break
            # Earlier moves may have taken the slot.
            again = self._gain(move.run, takes_slot=True)
            if again is not None:
                made.append(again)
        return made

    def _reliefs(self, runs):
        """Yield a `moves.Move`, or None, for each engine short of memory.

        The run with most events left is moved, so that no other has to be
        moved soon. A run that was moved before stays, because a waiting item
        may take the freed slot and fill the memory again.
        """
        for replica_id, worker in self._workers_by_id.items():
            if not worker.memory.is_nearly_full:
                continue
            here = [
                run
                for run in runs
                if run.replica_id == replica_id and not run.earlier_moves
            ]
            if here and worker.running > 1:
                longest = max(here, key=self._remaining_events)
                yield self._relief(longest, worker)

    def _relief(self, run, worker):
        left = self._remaining_events(run)
        demand = memory.memory_demand(
            run.prompt,
            self._lengths.tokens_per_event(run.kind),
            run.events,
            left,
        )
        fitting = [
            target
            for target in self._targets(run)
            if self._has_free_slot(target, run) and target.memory.fits(demand)
        ]
        if not fitting:
            return None
        self._take_slot(fitting[0])
        stay_s = worker.pace.expected_s(left, self._now) or 0.0
        go_s = fitting[0].pace.expected_s(left, self._now)
        return self._move(run, left, stay_s, stay_s - go_s, moves.Cause.MEMORY)

    def _gain(self, run, takes_slot=False):
        """Return the `moves.Move` that saves most time for a run, or None.

        With ``takes_slot`` the slot is no longer free for other moves.
        """
        worker = self._workers_by_id.get(run.replica_id)
        if worker is None:
            return None
        left = self._remaining_events(run)
        stay_s = worker.pace.expected_s(left, self._now)
        if not stay_s:
            return None
        go_s, target = min(
            (
                (target.pace.expected_s(left, self._now), target)
                for target in self._targets(run)
                if self._has_free_slot(target, run)
            ),
            key=lambda pair: pair[0],
            default=(stay_s, None),
        )
        gain_s = moves.gain_s(
            stay_s, go_s, run.earlier_moves, self._budget.min_gain_s
        )
        if not gain_s:
            return None
        if takes_slot:
            self._take_slot(target)
        return self._move(run, left, stay_s, gain_s, moves.Cause.FASTER)

    def _move(self, run, left, stay_s, gain_s, cause):
        text = run.events * self._lengths.tokens_per_event(run.kind)
        tokens = run.prompt.tokens + text
        return moves.Move(run, left, stay_s, gain_s, tokens, cause)

    def _remaining_events(self, run):
        return self._lengths.remaining_events(
            run.kind, run.expected_tokens, run.events
        )

    def _targets(self, run):
        """Return the fastest replicas with free slots for runs like `run`."""
        requirement = (
            run.service,
            run.model,
            run.min_version,
            run.allowed_domains,
        )
        if requirement not in self._targets_by_requirement:
            able = [
                worker
                for worker in self._workers_by_id.values()
                if workers.can_start(worker, run, self._now)
                and worker.pace.expected_s(1, self._now) is not None
            ]
            self._targets_by_requirement[requirement] = heapq.nsmallest(
                MAX_TARGETS,
                able,
                key=lambda one: one.pace.expected_s(1, self._now),
            )
        return self._targets_by_requirement[requirement]

    def _has_free_slot(self, target, run):
        replica_id = target.replica.replica_id
        free_slots = self._free_slots(target)
        return replica_id != run.replica_id and free_slots > 0

    def _free_slots(self, target):
        return self._free_slots_by_id.get(
            target.replica.replica_id, target.available_slots(self._now)
        )

    def _take_slot(self, target):
        replica_id = target.replica.replica_id
        free_slots = self._free_slots(target)
        self._free_slots_by_id[replica_id] = free_slots - 1
