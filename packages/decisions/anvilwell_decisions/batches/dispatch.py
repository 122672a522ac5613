"""Chooses which waiting item runs next, and on which replica."""

import collections
import heapq
import typing

from anvilwell_decisions.batches import idle_connections
from anvilwell_decisions.batches import lengths
from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import move_selection
from anvilwell_decisions.batches import paces
from anvilwell_decisions.batches import shortlists
from anvilwell_decisions.batches import workers
from anvilwell_decisions.traffic import facts

# Pause in seconds before another item is sent to a replica that refused one.
# Engines that load weights refuse for about a second.
REFUSED_PAUSE_S = 0.15
# Pause in seconds before another item is sent to a replica at which a run
# broke off. The run is resumed at another replica if possible. The pause is
# short because a replica that fails one response in fifty is still worth
# using.
BROKEN_PAUSE_S = 0.1
# Pause in seconds before another item is sent to a replica that can't be
# reached or has stopped responding.
SILENT_PAUSE_S = 1.0
# Expected times are compared in steps of a sixth of the shortest one and count
# as equal within a step, so that replicas of about the same speed share the
# work. Slow ones differ by several steps.
PACE_STEPS = 6
# Number of replicas whose memory use is compared for an item: those with the
# shortest expected time and, among equals, the lowest load.
MEMORY_CANDIDATES = 8
# An item waits for a busy replica only if its text is expected to be complete
# there at least this many seconds earlier than at a free replica. The margin
# is needed because the time at which a slot becomes free is an estimate.
MIN_WAIT_GAIN_S = 0.2


class WaitingItem(typing.NamedTuple):
    """An item that waits for a replica; a lower ``rank`` goes first.

    Items with the same ``kind`` have similar lengths. ``expected_tokens`` is
    the caller's estimate of the length, 0 if it gave none. ``events_made`` is
    the number of events that the text already has from earlier runs. It may
    run only in ``allowed_domains``, None for all failure domains.
    """

    rank: tuple
    batch_id: str
    item_id: str
    group: str
    service: str
    model: str
    min_version: int
    kind: str = ""
    expected_tokens: int = 0
    events_made: int = 0
    prompt: facts.Prompt = facts.Prompt()
    allowed_domains: frozenset[str] | None = None


class Run(typing.NamedTuple):
    """A run of an item at a replica, in progress.

    ``events`` is the number of events that the item's text has by now,
    including those of earlier runs; ``earlier_moves`` counts how often the
    item has been moved to another replica. It may continue only in
    ``allowed_domains``, None for all failure domains.
    """

    batch_id: str
    item_id: str
    replica_id: str
    events: int
    service: str
    model: str
    min_version: int
    kind: str = ""
    expected_tokens: int = 0
    prompt: facts.Prompt = facts.Prompt()
    earlier_moves: int = 0
    allowed_domains: frozenset[str] | None = None


class Dispatcher:
    """Assigns the items of the batches that one entry owns to replicas.

    Parameters
    ----------
    sends_of : callable, optional
        Returns the `send_windows.ReplicaSends` of a replica that may be cold,
        None for other replicas.
    idle_count : callable, optional
        Returns the number of usable idle connections to a replica id. Among
        replicas that are equal otherwise, those with one are preferred.
    """

    def __init__(self, sends_of=None, idle_count=None):
        self._sends_of = sends_of
        # Services with replicas that may be cold.
        self._limited_services = set()
        self._idle_connections = idle_connections.IdleConnections(idle_count)
        self._workers_by_id = {}
        self._shortlists = shortlists.Shortlists()
        # Workers with runs; a worker is listed once for each of its runs.
        self._busy_workers = []
        self._tokens_by_service = {}
        self._slowdowns_by_service = collections.defaultdict(paces.Slowdowns)
        self.lengths = lengths.LengthEstimator()
        self.move_selector = move_selection.MoveSelector(self.lengths)

    def worker(self, replica_id):
        """Return the `Worker` of a replica, or None."""
        return self._workers_by_id.get(replica_id)

    def set_replicas(self, replicas):
        """Set the usable replicas; those set before keep their state."""
        known = self._workers_by_id
        self._workers_by_id = {
            replica.replica_id: self._updated_worker(
                known.get(replica.replica_id), replica
            )
            for replica in replicas
        }
        self._shortlists.set_candidates(self._workers_by_id.values())

    def update_replica(self, replica_id, replica):
        """Update the facts of one replica, or drop it if `replica` is None."""
        worker = self._workers_by_id.get(replica_id)
        if replica is None:
            self._workers_by_id.pop(replica_id, None)
        else:
            self._workers_by_id[replica_id] = self._updated_worker(
                worker, replica
            )
        if worker is None or replica is None:
            self._shortlists.set_candidates(self._workers_by_id.values())
        else:
            self._shortlists.clear()

    def set_limits(self, limit_of):
        """Limit the slots used at each replica to ``limit_of(replica)``."""
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

    def _updated_worker(self, worker, replica):
        if worker is None:
            worker = workers.Worker(
                replica, self._slowdowns_by_service[replica.service]
            )
            worker.clear_runs(self._tokens_by_service)
        worker.replica = replica
        worker.sends = self._sends_of and self._sends_of(replica)
        if worker.sends is not None:
            self._limited_services.add(replica.service)
        worker.update_versions(replica.versions)
        return worker

    def set_runs(self, runs, tokens_by_service, now):
        """Recompute the load of the replicas from the runs in progress.

        Parameters
        ----------
        runs : iterable of Run
            All runs of this entry.
        tokens_by_service : dict
            Memory of one engine of a service, in tokens; 0 if unknown.
        now : float
            Monotonic time in seconds.
        """
        self._shortlists.clear()
        self._idle_connections.start_round()
        is_same = tokens_by_service == self._tokens_by_service
        self._tokens_by_service = tokens_by_service
        known = self._busy_workers if is_same else self._workers_by_id.values()
        for worker in known:
            worker.clear_runs(tokens_by_service)
        self._busy_workers = []
        for run in runs:
            worker = self._workers_by_id.get(run.replica_id)
            if worker is None:
                continue
            self._busy_workers.append(worker)
            left = self.lengths.remaining_events(
                run.kind, run.expected_tokens, run.events
            )
            worker.memory.add(self._memory_demand(run, run.events, left))
            if not worker.pace.is_silent(now):
                worker.run_ends_s.append(worker.pace.expected_s(left, now))
        for worker in self._busy_workers:
            heapq.heapify(worker.run_ends_s)

    def choose_moves(self, runs, now):
        """Return the `moves.Move`s to make now, chosen among `runs`."""
        return self.move_selector.choose(runs, self._workers_by_id, now)

    def record_assignment(self, item, replica_id):
        """Record that a `WaitingItem` was assigned to a replica.

        Returns
        -------
        send_windows.Permit or None
            Permit to send the item, if the replica may be cold.
        """
        worker = self._workers_by_id[replica_id]
        worker.running += 1
        self._idle_connections.take(replica_id)
        left = self.lengths.remaining_events(
            item.kind, item.expected_tokens, item.events_made
        )
        worker.memory.add(self._memory_demand(item, item.events_made, left))
        self._busy_workers.append(worker)
        self.move_selector.budget.record_start()
        return worker.sends and worker.sends.reserve()

    def _memory_demand(self, one, events_made, left):
        """Return the `memory.MemoryDemand` of a `WaitingItem` or `Run`."""
        tokens = self.lengths.tokens_per_event(one.kind)
        return memory.memory_demand(one.prompt, tokens, events_made, left)

    def choose_replica(self, item, now):
        """Return the replica's id for a `WaitingItem`, None to let it wait.

        Callers pass the longest items first, so that these get the fast
        replicas and short items get the rest. A long item may be made to wait
        for a slot of a fast replica instead of taking a free slot of a slow
        one.
        """
        able = self._shortlists.find(
            item.service,
            (
                item.service,
                item.model,
                item.min_version,
                now,
                item.allowed_domains,
            ),
            lambda worker: workers.can_start(worker, item, now),
        )
        if not able:
            return None
        events = self.lengths.remaining_events(
            item.kind, item.expected_tokens, item.events_made
        )
        expected = [worker.pace.expected_s(events, now) for worker in able]
        known = [one for one in expected if one is not None]
        shortest_s = min(known, default=0.0)
        candidates = heapq.nsmallest(
            MEMORY_CANDIDATES,
            (
                (
                    _pace_step(one, shortest_s),
                    worker.is_cold,
                    worker.load,
                    not self._idle_connections.has_any(worker.name),
                    worker.name,
                    one,
                    worker,
                )
                for worker, one in zip(able, expected, strict=True)
            ),
        )
        demand = self._memory_demand(item, item.events_made, events)
        *_, expected_s, best = min(
            candidates, key=lambda one: _sort_key(one, demand)
        )
        if expected_s and (
            self._should_wait(item, events, expected_s, now)
            or self._should_await_turn(item, events, expected_s, now)
        ):
            return None
        return best.name

    def _should_wait(self, item, events, expected_s, now):
        """Return whether an item should wait for a slot that frees up soon.

        If so, the slot is reserved, so that items considered later don't wait
        for the same one.
        """
        full = [
            worker
            for worker in self._busy_workers
            if worker.run_ends_s
            and worker.free_slots <= 0
            and workers.can_start_once_free(worker, item, now)
        ]
        ends_s, worker = min(
            (
                (
                    worker.run_ends_s[0] + worker.pace.expected_s(events, now),
                    worker,
                )
                for worker in full
            ),
            key=lambda pair: pair[0],
            default=(expected_s, None),
        )
        if ends_s + MIN_WAIT_GAIN_S > expected_s:
            return False
        heapq.heapreplace(worker.run_ends_s, ends_s)
        return True

    def _should_await_turn(self, item, events, expected_s, now):
        """Return whether an item should wait until it may be sent.

        That is for a replica with free slots that has been sent as many
        requests as it may be, and would complete the text earlier. The turn
        is reserved.
        """
        if item.service not in self._limited_services:
            return False
        limited = (
            worker
            for worker in self._workers_by_id.values()
            if worker.sends is not None
            and worker.free_slots > 0
            and not worker.may_send(now)
            and workers.can_start_once_free(worker, item, now)
        )
        expected = (
            (
                worker.sends.turn_wait_s(now),
                worker,
                worker.pace.expected_s(events, now),
            )
            for worker in limited
        )
        ends_s, worker = min(
            (
                (wait_s + run_s, worker)
                for wait_s, worker, run_s in expected
                if run_s is not None
            ),
            key=lambda pair: pair[0],
            default=(expected_s, None),
        )
        if ends_s + MIN_WAIT_GAIN_S > expected_s:
            return False
        worker.sends.await_turn()
        return True


def _pace_step(expected_s, shortest_s):
    """Return a replica's expected time in fractions of the shortest one."""
    if expected_s is None or not shortest_s:
        return PACE_STEPS
    return int(expected_s / shortest_s * PACE_STEPS)


def _sort_key(candidate, demand):
    """Return the sort key of a candidate replica; the lowest is chosen."""
    step, is_cold, load, needs_connection, name, _, worker = candidate
    peak_share = worker.memory.peak_share(demand)
    return (
        peak_share > memory.MAX_PEAK_SHARE,
        step,
        is_cold,
        max(load, worker.round_down_to_slots(peak_share)),
        not worker.memory.has_shared_prompt(demand.shared_id),
        needs_connection,
        name,
    )
