"""The ledger of one run: records each sample once, at one position.

The log of chunks is the source of truth. A ledger takes events and `now` and
returns actions. It treats an entry as recorded only once its chunk is written.
"""

import enum
import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import chunks
from anvilwell_decisions.samples import delivery
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records
from anvilwell_decisions.samples import retention
from anvilwell_decisions.samples import staleness
from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

# First and longest wait in seconds before scoring or copying is retried.
# Refused callers get the first one as their Retry-After.
RETRY_S = 1.0
MAX_RETRY_S = 30.0


class Phase(enum.Enum):
    """The state of a sample on its way into the log."""

    WANTED = "wanted"
    SCORING = "scoring"
    COPYING = "copying"
    WRITING = "writing"
    RECORDED = "recorded"


_ACTIONS_BY_PHASE = {
    Phase.SCORING: actions.Score,
    Phase.COPYING: actions.Replicate,
}


class Result(typing.NamedTuple):
    """The complete result of an attempt; each has its own digest."""

    digest: str
    tokens: int
    versions: tuple[str, ...]


class _Sample:
    """State of one sample."""

    __slots__ = ("failures", "phase", "position", "result", "retry", "score")

    def __init__(self):
        self.phase = Phase.WANTED
        self.result = None
        self.score = None
        self.position = None
        self.retry = None
        self.failures = 0


class Ledger:
    """Decides which attempt's result becomes each sample of a run.

    Parameters
    ----------
    run : str
        The run's name.
    holder : str
        VM id of this process.
    fencing : int
        Fencing number of the lease under which it holds the ledger.
    bound : int
        Staleness bound in versions.
    scored : bool
        Whether candidates are scored before they are recorded.
    """

    def __init__(self, run, holder, fencing, *, bound, scored=False):
        self.run = run
        self.holder = holder
        self.fencing = fencing
        self.bound = bound
        self.active = False
        self.stopped = False
        self.recorded_version = None
        self._scored = scored
        self._log = chunks.ChunkLog()
        self._samples_by_id = {}
        self._steps_by_number = {}
        self._writing_steps = {}
        self._retries = {}
        self._retention = retention.Retention()
        self.delivery = delivery.Delivery(bound)

    @property
    def unwritten(self):
        """How many entries are not confirmed as written."""
        return self._log.unwritten

    def recover(self, chunks_by_number, now, base=None):
        """Replay what earlier holders wrote, and fence those holders.

        Parameters
        ----------
        chunks_by_number : dict of int to tuple
            The entries of every chunk that is kept.
        base : records.Base, optional
            What replaces the chunks before them.
        """
        if base is not None:
            self._start_at(base)
        first = base.chunk if base else 0
        for number in sorted(n for n in chunks_by_number if n >= first):
            for entry in chunks_by_number[number]:
                self._replay(entry)
            self._retention.written(
                number, chunks_by_number[number], self.delivery.end
            )
            self._log.number = number + 1
        self._log.append(records.Takeover(self.holder, self.fencing), now)
        return self._log.write(now, at_once=True)

    def _unfinished(self):
        wanted = [
            actions.Generate(sample_id)
            for sample_id, sample in self._samples_by_id.items()
            if sample.phase is Phase.WANTED
        ]
        return [*wanted, *self.delivery.fetches()]

    def _replay(self, entry):
        match entry:
            case records.StepAccepted():
                if entry.step.step > self._retention.through:
                    self._add_step(entry.step)
            case records.Choice():
                if entry.sample.step <= self._retention.through:
                    self.delivery.skip()
                    return
                sample = self._samples_by_id[entry.sample]
                sample.phase = Phase.RECORDED
                sample.position = self.delivery.restore(entry)
            case records.Void():
                self._void(entry)
            case records.TrainerVersion():
                self._take_version(entry.version)
                self.recorded_version = entry.version

    def open_steps(self):
        """Return the steps whose content is still kept."""
        return list(self._steps_by_number.values())

    def set_bound(self, bound):
        """Set the staleness bound that applies from the next check on."""
        self.bound = bound
        self.delivery.bound = bound

    def has_step(self, number):
        """Return whether a step is recorded as accepted."""
        return (
            number <= self._retention.through
            or number in self._steps_by_number
        )

    def _start_at(self, base):
        self.delivery.start_at(base.position)
        self._retention.through = base.through
        if base.version:
            self._take_version(base.version)
            self.recorded_version = base.version

    def submit(self, step, now):
        """Accept a step from the trainer.

        Returns
        -------
        list
            ``Accepted`` if it is recorded already, else the write to do so.

        Raises
        ------
        exceptions.Conflict
            If the step was submitted before with other content.
        """
        self._check_active()
        identity.check_step(step)
        if step.step <= self._retention.through:
            return [actions.Accepted(step.step)]
        if step.step in self._steps_by_number:
            _check_same(self._steps_by_number[step.step], step)
            return [actions.Accepted(step.step)]
        if step.step in self._writing_steps:
            _check_same(self._writing_steps[step.step], step)
            return []
        self._writing_steps[step.step] = step
        self._log.append(records.StepAccepted(step), now)
        return self._log.write(now, at_once=True)

    def wants(self, sample_id):
        """Return whether `sample_id` still needs an attempt."""
        sample = self._samples_by_id.get(sample_id)
        return sample is not None and sample.phase is Phase.WANTED

    def result(self, sample_id, result, now):
        """Handle a complete result; the first usable one is the candidate."""
        sample = self._samples_by_id.get(sample_id)
        if self.stopped or sample is None:
            return _drop(sample_id, result, reasons.Refusal.FENCED)
        if sample.phase is not Phase.WANTED:
            return _drop(sample_id, result, reasons.Refusal.DUPLICATE_SAMPLE)
        if self._is_over_age(result):
            stale = reasons.Retry.STALE_VERSION
            again = actions.Generate(sample_id)
            return [*_drop(sample_id, result, stale), again]
        sample.result = result
        sample.score = None
        sample.failures = 0
        settled = actions.Settled(sample_id)
        return [
            settled,
            *self._enter_phase(sample_id, sample, self._first_phase()),
        ]

    def scored(self, sample_id, digest, score, now):
        """Set the score of a candidate; a second response is ignored."""
        sample = self._take_candidate(sample_id, digest, Phase.SCORING)
        if sample is None:
            return []
        sample.score = score
        return self._enter_phase(sample_id, sample, Phase.COPYING)

    def replicated(self, sample_id, digest, holders, now):
        """Append the choice to the log, as `holders` have its bytes."""
        sample = self._take_candidate(sample_id, digest, Phase.COPYING)
        if sample is None:
            return []
        if self._is_over_age(sample.result):
            return self._redo(sample_id, sample)
        sample.phase = Phase.WRITING
        choice = records.Choice(
            sample_id,
            digest,
            sample.result.tokens,
            sample.result.versions,
            sample.score,
            tuple(holders),
        )
        self._log.append(choice, now)
        return self._log.write(now)

    def awaits(self, sample_id, digest, kind):
        """Return whether an action of class `kind` is still unanswered."""
        sample = self._candidate(sample_id, digest)
        if sample is None or sample_id in self._retries:
            return False
        return _ACTIONS_BY_PHASE[sample.phase] is kind

    def not_done(self, sample_id, digest, now):
        """Schedule a retry of scoring or copying, which failed."""
        sample = self._candidate(sample_id, digest)
        if sample is None or sample_id in self._retries:
            return []
        delay = min(MAX_RETRY_S, RETRY_S * 2**sample.failures)
        sample.failures += 1
        self._retries[sample_id] = now + delay
        return []

    def tick(self, now):
        """Return the actions that are due: writes, and retries."""
        if self.stopped:
            return []
        due = [i for i, at in self._retries.items() if at <= now]
        repeated = []
        for sample_id in due:
            del self._retries[sample_id]
            sample = self._samples_by_id[sample_id]
            repeated.extend(self._enter_phase(sample_id, sample, sample.phase))
        return [*repeated, *self._log.write(now)]

    def next_due(self):
        """Return the time at which `tick` is next due, or None."""
        times = [*self._retries.values(), self._log.due_at()]
        return min((at for at in times if at is not None), default=None)

    def written(self, number, now):
        """Apply the entries of chunk `number`, which was written."""
        entries = self._log.confirm_written(number)
        found = [a for entry in entries for a in self._recorded(entry)]
        if entries:
            self._retention.written(number, entries, self.delivery.end)
        return [*found, *self._log.write(now)]

    def write_unknown(self, now):
        """Schedule a write again whose outcome is unknown."""
        self._log.retry_later(now)
        return []

    def write_conflict(self, number, entries, now):
        """Step down if another process wrote `entries` as chunk `number`."""
        if self._log.compare(number, entries) is chunks.ChunkAuthor.MINE:
            return self.written(number, now)
        self.active = False
        self.stopped = True
        return [actions.StepDown(chunks.last_holder(entries))]

    def trainer_version(self, version, now):
        """Record the trainer's version; discard and redo over-age samples."""
        self._check_active()
        self._take_version(version)
        self._log.append(records.TrainerVersion(version), now)
        stale = [
            (sample_id, sample)
            for sample_id, sample in self._samples_by_id.items()
            if sample.phase in (Phase.SCORING, Phase.COPYING)
            and self._is_over_age(sample.result)
        ]
        redone = [a for i, s in stale for a in self._redo(i, s)]
        voids = self.delivery.void_over_age()
        for void in voids:
            self._log.append(void, now)
        return [*redone, *self._log.write(now, at_once=True)]

    def collect(self, cursor, limit, now):
        """Return the batch at `cursor`, which acknowledges all before it.

        Returns
        -------
        delivery.Batch
            What to send; ``actions`` are to be carried out as well.
        """
        self._check_active()
        batch = self.delivery.collect(cursor, limit)
        written = self._write_voids(batch.voids, now)
        return batch._replace(actions=(*written, *self._forget()))

    def bytes_found(self, position):
        """Mark the bytes of `position` as present."""
        self.delivery.bytes_found(position)
        return [actions.Deliverable(self.delivery.end)]

    def bytes_lost(self, position):
        """Mark the bytes of `position` as lost at all holders."""
        self.delivery.bytes_lost(position)
        return [actions.Deliverable(self.delivery.end)]

    def _forget(self):
        through = self.delivery.last_releasable_step(retention.KEPT_STEPS)
        if through <= self._retention.through:
            return []
        for number in [n for n in self._steps_by_number if n <= through]:
            step = self._steps_by_number.pop(number)
            for sample_id in step.sample_ids():
                del self._samples_by_id[sample_id]
        discards = [
            actions.Discard(choice.sample, choice.digest, choice.holders)
            for choice in self.delivery.forget(through)
        ]
        version = self.recorded_version or ""
        first = self.delivery.first
        return [*discards, *self._retention.trim(through, first, version)]

    def _write_voids(self, voids, now):
        for void in voids:
            self._log.append(void, now)
        return self._log.write(now, at_once=True) if voids else []

    def _take_version(self, version):
        self.delivery.trainer_version = versions.ordinal(version)

    def _recorded(self, entry):
        match entry:
            case records.StepAccepted():
                del self._writing_steps[entry.step.step]
                ids = self._add_step(entry.step)
                accepted = actions.Accepted(entry.step.step)
                return [accepted, *map(actions.Generate, ids)]
            case records.Choice():
                sample = self._samples_by_id[entry.sample]
                sample.phase = Phase.RECORDED
                sample.position = self.delivery.recorded(entry)
                return [actions.Deliverable(self.delivery.end)]
            case records.Void():
                end = actions.Deliverable(self.delivery.end)
                return [*self._void(entry), end]
            case records.TrainerVersion():
                self.recorded_version = entry.version
                return [actions.VersionTaken(entry.version)]
        self.active = True
        return self._unfinished()

    def _void(self, void):
        if self.delivery.is_closed(void.position):
            return []
        choice = self.delivery.void(void.position)
        sample = self._samples_by_id[choice.sample]
        discard = actions.Discard(choice.sample, choice.digest)
        sample.phase = Phase.WANTED
        sample.position = None
        sample.result = None
        return [discard, actions.Generate(choice.sample)]

    def _add_step(self, step):
        self._steps_by_number[step.step] = step
        ids = step.sample_ids()
        self._samples_by_id.update((i, _Sample()) for i in ids)
        self.delivery.expect(step.step, len(ids))
        return ids

    def _first_phase(self):
        return Phase.SCORING if self._scored else Phase.COPYING

    def _enter_phase(self, sample_id, sample, phase):
        sample.phase = phase
        return [_ACTIONS_BY_PHASE[phase](sample_id, sample.result.digest)]

    def _candidate(self, sample_id, digest, phase=None):
        sample = self._samples_by_id.get(sample_id)
        if self.stopped or sample is None or sample.result is None:
            return None
        phases = (phase,) if phase else (Phase.SCORING, Phase.COPYING)
        fits = sample.phase in phases and sample.result.digest == digest
        return sample if fits else None

    def _take_candidate(self, sample_id, digest, phase):
        sample = self._candidate(sample_id, digest, phase)
        if sample is not None:
            self._retries.pop(sample_id, None)
            sample.failures = 0
        return sample

    def _redo(self, sample_id, sample):
        result = sample.result
        sample.phase = Phase.WANTED
        sample.result = None
        self._retries.pop(sample_id, None)
        stale = reasons.Retry.STALE_VERSION
        again = actions.Generate(sample_id)
        return [*_drop(sample_id, result, stale), again]

    def _is_over_age(self, result):
        return staleness.is_over_age(
            result.versions, self.delivery.trainer_version, self.bound
        )

    def _check_active(self):
        if not self.active:
            raise exceptions.Refused(
                f"run {self.run} is not held by this daemon; send the "
                "request again",
                reason=reasons.Refusal.NOT_LEADER,
                retry_after=RETRY_S,
            )


def _check_same(accepted, step):
    if accepted != step:
        raise exceptions.Conflict(
            f"step {step.step} of run {step.run} was submitted with other "
            "content; a step never changes, so submit a new number"
        )


def _drop(sample_id, result, reason):
    return [
        actions.Dropped(sample_id, str(reason), result.tokens),
        actions.Discard(sample_id, result.digest),
    ]
