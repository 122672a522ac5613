"""What a holder of batches knows of each replica."""

from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import paces


class Worker:
    """What is known of one replica."""

    def __init__(self, replica, spells):
        self.replica = replica
        self.running = 0
        # Places that may be used here; None for all.
        self.limit = None
        self.forget_runs({})
        self.not_before = 0.0
        self.pace = paces.Pace(spells)
        self._version_by_model = {}
        self.saw_versions(replica.versions)

    def forget_runs(self, tokens_by_service):
        """Forget what the runs here hold and when they are to end."""
        total = tokens_by_service.get(self.replica.service, 0)
        self.memory = memory.Memory(total)
        # Seconds until each of our runs here is expected to end, a heap.
        self.ends_s = []

    @property
    def name(self):
        """The replica's id."""
        return self.replica.replica_id

    @property
    def load(self):
        """Share of the slots that our own runs take."""
        return self.running / max(1, self.replica.slots)

    def in_slots(self, share):
        """Return a share of something, down to whole slots."""
        slots = max(1, self.replica.slots)
        return int(share * slots) / slots

    @property
    def room(self):
        """How many more items would start at once."""
        slots = max(1, self.replica.slots)
        return (slots if self.limit is None else self.limit) - self.running

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


def may_take(worker, work, now):
    """Return whether `worker` takes a `Work` or `Run` now."""
    return worker.room > 0 and may_wait(worker, work, now)


def may_wait(worker, work, now):
    """Return whether it would take it with a place free."""
    replica = worker.replica
    return (
        replica.service == work.service
        and not replica.is_draining
        and worker.not_before <= now
        and worker.takes(work.model, work.min_version)
    )
