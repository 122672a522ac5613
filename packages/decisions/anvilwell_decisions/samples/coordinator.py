"""Connects the ledgers of a service's runs to its schedule."""

import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import schedule as schedules
from anvilwell_decisions.samples import speeds


class Addressed(typing.NamedTuple):
    """An action and the run that it belongs to."""

    run: str
    action: typing.NamedTuple


class Coordinator:
    """Handles a service's events and returns `Addressed` actions.

    Parameters
    ----------
    holder : str
        VM id of this process.
    fencing : int
        Fencing number of the lease on the service's runs.
    bound : int
        Staleness bound in versions.
    policy : schedule.Policy
        Which scheduling mechanisms are enabled.
    scored : bool
        Whether samples are scored.
    """

    def __init__(self, holder, fencing, *, bound, policy=None, scored=False):
        self._holder = holder
        self._fencing = fencing
        self._bound = bound
        self._scored = scored
        self._groups_by_id = {}
        self._last_delivered_by_run = {}
        self._last_trained_by_run = {}
        self._speeds = speeds.SlowReplicaDetector()
        self.schedule = schedules.Schedule(bound, policy)
        self.ledgers_by_run = {}

    def open_run(self, run, weight, chunks_by_number, now, base=None):
        """Take over a run from the chunks of its log."""
        ledger = ledgers.Ledger(
            run,
            self._holder,
            self._fencing,
            bound=self._bound,
            scored=self._scored,
        )
        self.ledgers_by_run[run] = ledger
        self.schedule.add_run(run, weight)
        found = ledger.recover(chunks_by_number, now, base)
        for step in ledger.open_steps():
            self._register_step(step)
        return self._address(run, found)

    def configure(self, bound, preference, weights_by_run):
        """Apply the current settings of the service's document."""
        self._bound = bound
        self.schedule.configure(bound, preference)
        for run, ledger in self.ledgers_by_run.items():
            ledger.set_bound(bound)
            self.schedule.add_run(run, weights_by_run.get(run, 1.0))
        return [*self._cancel_over_age(), *self._starts()]

    def submit(self, step, now):
        """Accept a step from a trainer; see ``ledger.Ledger.submit``."""
        ledger = self.ledgers_by_run[step.run]
        found = ledger.submit(step, now)
        self._register_step(step)
        return self._address(step.run, found)

    def group(self, sample):
        """Return the group that `sample` belongs to."""
        return self._groups_by_id[sample.run, sample.step, sample.group]

    def sample_of(self, attempt):
        """Return the sample of a running attempt, or None."""
        running = self.schedule.running_by_attempt.get(attempt)
        return running.pending.sample if running else None

    def result(self, attempt, result, now):
        """Handle the complete result of an attempt."""
        running = self.schedule.running_by_attempt.get(attempt)
        if running is None:
            return []
        sample = running.pending.sample
        self.schedule.ended(attempt, result.tokens)
        ledger = self.ledgers_by_run[sample.run]
        found = ledger.result(sample, result, now)
        return self._address(sample.run, found)

    def failed(self, attempt, now):
        """Generate a sample again whose attempt ended without a result."""
        running = self.schedule.running_by_attempt.get(attempt)
        if running is None:
            return []
        self.schedule.ended(attempt)
        return self._requeue([running.pending.sample])

    def progress(self, tokens_by_attempt, now):
        """Update the streams' token counts; hedge streams of slow replicas."""
        for attempt, tokens in tokens_by_attempt.items():
            self.schedule.progress(attempt, tokens)
        replicas_by_attempt = {
            attempt: running.replica
            for attempt, running in self.schedule.running_by_attempt.items()
        }
        slow = self._speeds.update(tokens_by_attempt, replicas_by_attempt, now)
        return _address_starts(self.schedule.hedge(slow) if slow else ())

    def replica_lost(self, replica_id, now):
        """Remove a replica and generate again what it was running."""
        return self._requeue(self.schedule.remove_replica(replica_id))

    def replica(self, replica_id, slots, version):
        """Add a replica, or update its slots and weight version."""
        self.schedule.replicas.set(replica_id, slots, version)
        return self._starts()

    def published(self, version):
        """Set the latest weight version; cancel work that will be over age."""
        self.schedule.latest = version
        return self._cancel_over_age()

    def trainer_version(self, run, version, now):
        """Record a trainer's version; cancel work that will be over age."""
        found = self.ledgers_by_run[run].trainer_version(version, now)
        self._update_needed_step(run, waiting=False)
        return [*self._address(run, found), *self._cancel_over_age()]

    def collect(self, run, cursor, limit, now, *, waiting=False):
        """Return the batch at `cursor`, with `Addressed` actions."""
        self.schedule.now = now
        batch = self.ledgers_by_run[run].collect(cursor, limit, now)
        self._record_collect(run, batch, waiting)
        return batch._replace(actions=tuple(self._address(run, batch.actions)))

    def tick(self, now):
        """Return the actions that are due in any run."""
        self.schedule.now = now
        return [
            addressed
            for run, ledger in self.ledgers_by_run.items()
            for addressed in self._address(run, ledger.tick(now))
        ]

    def next_due(self):
        """Return the time at which `tick` is next due, or None."""
        times = [led.next_due() for led in self.ledgers_by_run.values()]
        return min((at for at in times if at is not None), default=None)

    def on_ledger(self, run, event, *args):
        """Call the method `event` of the ledger of `run`."""
        found = getattr(self.ledgers_by_run[run], event.__name__)(*args)
        return self._address(run, found)

    def _register_step(self, step):
        self._groups_by_id.update(
            ((step.run, step.step, group.group), group)
            for group in step.groups
        )
        self.schedule.set_step_size(
            step.run, step.step, len(step.sample_ids())
        )

    def _requeue(self, samples):
        for sample in dict.fromkeys(samples):
            wanted = self.ledgers_by_run[sample.run].wants(sample)
            if wanted and not self.schedule.is_running(sample):
                self._add(sample)
        return self._starts()

    def _add(self, sample):
        self.schedule.add(sample, self.group(sample))

    def _record_collect(self, run, batch, waiting):
        """Update which step the trainer needs after it collected `batch`.

        A trainer that has just received the last sample of a step trains
        on that step. It needs the next one only when it collects again.
        """
        training = self.schedule.training(run)
        training.end(self.schedule.now)
        got = max(batch.steps_whole, default=identity.NO_STEP)
        if got > self._last_delivered_by_run.get(run, identity.NO_STEP):
            self._last_delivered_by_run[run] = got
            training.begin(self.schedule.now)
            self._update_needed_step(run, waiting=False)
            return
        self._last_trained_by_run[run] = got
        self._update_needed_step(run, waiting=waiting)

    def _update_needed_step(self, run, *, waiting):
        ledger = self.ledgers_by_run[run]
        done = self._last_trained_by_run.get(run, identity.NO_STEP)
        self.schedule.set_needed_step(
            run,
            ledger.delivery.step_after(done),
            ledger.delivery.trainer_version,
            waiting=waiting,
        )

    def _cancel_over_age(self):
        cancels = self.schedule.over_age_cancels()
        for cancel in cancels:
            self.schedule.ended(cancel.attempt)
        again = self._requeue([cancel.sample for cancel in cancels])
        return [*(Addressed(c.sample.run, c) for c in cancels), *again]

    def _address(self, run, found):
        kept = []
        for action in found:
            match action:
                case actions.Generate():
                    self._add(action.sample)
                case actions.Trim():
                    self._forget(run, action.base.through)
                    kept.append(action)
                case actions.Settled():
                    kept.extend(self._settle(action.sample))
                case _:
                    kept.append(action)
        self._update_needed_step(run, waiting=self.schedule.trainer_waits(run))
        return [*(Addressed(run, a) for a in kept), *self._starts()]

    def _forget(self, run, through):
        gone = [i for i in self._groups_by_id if i[0] == run]
        for group_id in [i for i in gone if i[1] <= through]:
            del self._groups_by_id[group_id]
            self.schedule.remove_step(*group_id[:2])

    def _settle(self, sample):
        cancels = self.schedule.settle(sample)
        for cancel in cancels:
            self.schedule.ended(cancel.attempt)
        return cancels

    def _starts(self):
        return _address_starts(self.schedule.assign())


def _address_starts(starts):
    return [Addressed(start.sample.run, start) for start in starts]
