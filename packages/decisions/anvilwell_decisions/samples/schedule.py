"""Decides which sample starts next, and on which replica."""

import typing

from anvilwell_decisions.samples import fairness
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import queues
from anvilwell_decisions.samples import replicas
from anvilwell_decisions.samples import staleness


class Policy(typing.NamedTuple):
    """Which scheduling mechanisms are enabled.

    ``longest_first`` starts the groups with the longest predictions first,
    ``scouts`` one sample of each new prompt before the rest. ``affinity``
    keeps a group on the replica that cached its prefix. ``cancel_doomed``
    cancels attempts that will be over age at delivery. ``hedge`` starts
    second attempts for streams on slow replicas. ``early_share`` is the
    share of a step's samples that may start before the trainer needs that
    step, from 0 to 1; ``early_delay`` is the share of the trainer's
    training time that passes before they do.
    """

    longest_first: bool = True
    scouts: bool = True
    affinity: bool = True
    cancel_doomed: bool = True
    early_share: float = 1.0
    early_delay: float = 0.0
    hedge: bool = True

    def prefer(self, preference):
        """Return this policy with early work set by `preference`.

        From 0 (least idle time: start early work at once) to 1 (least
        staleness: start none).
        """
        share = 0.0 if preference >= 1 else 1.0
        return self._replace(early_share=share, early_delay=preference)


class Start(typing.NamedTuple):
    """Start an attempt of `sample` on `replica`."""

    sample: identity.SampleId
    replica: str
    attempt: int
    predicted: int


class Cancel(typing.NamedTuple):
    """Cancel an attempt."""

    sample: identity.SampleId
    replica: str
    attempt: int
    reason: str


class Running(typing.NamedTuple):
    """A running attempt; ``oldest`` is the weight version that it began on."""

    pending: queues.Pending
    replica: str
    oldest: int
    early: bool


class Schedule:
    """Distributes the replicas of one service among its runs.

    Each decision costs O(log n) of the replicas, runs and groups; a new
    version costs O(n) of the running attempts.

    Parameters
    ----------
    bound : int
        Staleness bound in versions.
    policy : Policy
        Which scheduling mechanisms are enabled.
    """

    def __init__(self, bound, policy=None):
        self.bound = bound
        self.latest = 0
        self.now = 0.0
        self.replicas = replicas.Replicas()
        self._policy = policy or Policy()
        self._fairness = fairness.Fairness()
        self._queues_by_run = {}
        self._running_by_attempt = {}
        self._attempts_by_sample = {}
        self._early_by_step = {}
        self._sizes_by_step = {}
        self._attempts = 0

    @property
    def running_by_attempt(self):
        """The `Running` attempts."""
        return self._running_by_attempt

    @property
    def waiting(self):
        """How many samples wait in all runs."""
        return sum(q.waiting for q in self._queues_by_run.values())

    def configure(self, bound, preference):
        """Set the staleness bound and the preference (see `Policy.prefer`)."""
        self.bound = bound
        self._policy = self._policy.prefer(preference)
        for run in self._queues_by_run:
            self._update_ready(run)
        self._exclude_old_replicas()

    def remove_replica(self, replica_id):
        """Remove a replica and return the samples that it was running."""
        lost = self.replicas.remove(replica_id)
        return [self._forget(attempt).pending.sample for attempt in lost]

    def add_run(self, run, weight):
        """Add a run, or change its weight."""
        if run not in self._queues_by_run:
            self._queues_by_run[run] = queues.RunQueue(
                longest_first=self._policy.longest_first,
                scouts=self._policy.scouts,
            )
        self._fairness.set_weight(run, weight)
        self._update_ready(run)

    def set_needed_step(self, run, step, trainer_version, *, waiting):
        """Set which step the trainer needs and which weight version it has.

        ``waiting`` means that the trainer is waiting for the step now. Its
        version then can't change before the step is delivered.
        """
        queue = self._queues_by_run[run]
        queue.needed_step = step
        queue.trainer_version = trainer_version
        queue.trainer_waits = waiting
        self._update_ready(run)
        self._exclude_old_replicas()

    def training(self, run):
        """Return the `training.TrainingTime` of the trainer of `run`."""
        return self._queues_by_run[run].training

    def trainer_waits(self, run):
        """Return whether the trainer of `run` waits for its step."""
        return self._queues_by_run[run].trainer_waits

    def set_step_size(self, run, step, samples):
        """Set how many samples `step` has."""
        self._sizes_by_step[run, step] = samples
        self._early_by_step.setdefault((run, step), 0)

    def add(self, sample, group):
        """Queue `sample` of `group`, for its first or another attempt."""
        queue = self._queues_by_run[sample.run]
        queue.add(sample, group.prompt, group.max_tokens)
        self._update_ready(sample.run)

    def remove_step(self, run, step):
        """Remove a complete step."""
        self._queues_by_run[run].forget_step(step)
        self._sizes_by_step.pop((run, step), None)
        self._early_by_step.pop((run, step), None)
        self._update_ready(run)

    def assign(self):
        """Return a `Start` for each sample that can run now."""
        starts, blocked = [], []
        while self.replicas.free:
            run = self._fairness.first()
            if run is None:
                break
            start = self._start(run)
            if start is None:
                # The free replicas' versions are too old for this run, but may
                # be new enough for others.
                self._fairness.set_ready(run, False, early=False)
                blocked.append(run)
            else:
                starts.append(start)
        for run in blocked:
            self._update_ready(run)
        return starts

    def hedge(self, slow):
        """Return a `Start` of a second attempt for each stream on `slow`.

        Only slots that no waiting sample can use are taken, and only on
        replicas that are not slow.
        """
        if not self._policy.hedge or self._fairness.first() is not None:
            return []
        starts = []
        for running in [
            running
            for running in self._running_by_attempt.values()
            if running.replica in slow and not self._is_hedged(running)
        ]:
            pending = running.pending
            run = pending.sample.run
            oldest = self._oldest_start(self._queues_by_run[run])
            replica_id = self.replicas.choose_except(slow, oldest)
            if replica_id is None:
                break
            start = self._launch(run, pending, replica_id, running.early)
            starts.append(start)
        return starts

    def is_running(self, sample):
        """Return whether an attempt of `sample` is running."""
        return sample in self._attempts_by_sample

    def _is_hedged(self, running):
        return len(self._attempts_by_sample[running.pending.sample]) > 1

    def ended(self, attempt, tokens=None):
        """Free the slot of `attempt`; `tokens` is its length if complete."""
        running = self._running_by_attempt.get(attempt)
        if running is None:
            return
        self.replicas.release(running.replica, attempt)
        self._forget(attempt)
        if tokens is None:
            return
        sample = running.pending.sample
        self._queues_by_run[sample.run].observe(sample, tokens)

    def progress(self, attempt, tokens):
        """Record how many tokens an attempt has generated so far."""
        running = self._running_by_attempt.get(attempt)
        if running is not None:
            sample = running.pending.sample
            self._queues_by_run[sample.run].progress(sample, tokens)

    def settle(self, sample):
        """Dequeue a settled sample; return a `Cancel` for each attempt."""
        self._queues_by_run[sample.run].remove(sample)
        self._update_ready(sample.run)
        attempts = self._attempts_by_sample.get(sample, ())
        return [self._cancel(a, "settled") for a in sorted(attempts)]

    def over_age_cancels(self):
        """Return a `Cancel` for each attempt that will be over age."""
        if not self._policy.cancel_doomed:
            return []
        return [
            self._cancel(attempt, "over-age")
            for attempt, running in self._running_by_attempt.items()
            if staleness.will_be_over_age(
                running.oldest, self._expected(running), self.bound
            )
        ]

    def _expected(self, running):
        sample = running.pending.sample
        queue = self._queues_by_run[sample.run]
        settled = queue.trainer_waits and sample.step == queue.needed_step
        if settled:
            return queue.trainer_version
        return max(self.latest, queue.trainer_version)

    def _cancel(self, attempt, reason):
        running = self._running_by_attempt[attempt]
        return Cancel(running.pending.sample, running.replica, attempt, reason)

    def _update_ready(self, run):
        queue = self._queues_by_run[run]
        ready = queue.waiting and self._may_begin(run, queue)
        self._fairness.set_ready(run, ready, early=ready and queue.is_early())

    def _may_begin(self, run, queue):
        if not queue.is_early():
            return True
        delay_s = self._policy.early_delay * queue.training.usual_s
        if self.now < queue.training.begun_at + delay_s:
            return False
        step = (run, queue.head_step())
        allowed = self._policy.early_share * self._sizes_by_step[step]
        return self._early_by_step[step] < allowed

    def _start(self, run):
        queue = self._queues_by_run[run]
        early = queue.is_early()
        prefix_replica = (
            queue.prefix_replica() if self._policy.affinity else None
        )
        replica_id = self.replicas.choose(
            self._oldest_start(queue), prefix_replica
        )
        if replica_id is None:
            return None
        return self._launch(run, queue.take(replica_id), replica_id, early)

    def _oldest_start(self, queue):
        return staleness.oldest_start(queue.trainer_version, self.bound)

    def _exclude_old_replicas(self):
        oldest = map(self._oldest_start, self._queues_by_run.values())
        self.replicas.set_oldest_version(min(oldest, default=0))

    def _launch(self, run, pending, replica_id, early):
        self._attempts += 1
        oldest = self.replicas.take(replica_id, self._attempts)
        running = Running(pending, replica_id, oldest, early)
        self._running_by_attempt[self._attempts] = running
        sample = pending.sample
        self._attempts_by_sample.setdefault(sample, set()).add(self._attempts)
        self._early_by_step[run, sample.step] += early
        self._fairness.add_slots(run, 1)
        self._update_ready(run)
        return Start(sample, replica_id, self._attempts, pending.predicted)

    def _forget(self, attempt):
        running = self._running_by_attempt.pop(attempt)
        self._fairness.add_slots(running.pending.sample.run, -1)
        attempts = self._attempts_by_sample[running.pending.sample]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts_by_sample[running.pending.sample]
        return running
