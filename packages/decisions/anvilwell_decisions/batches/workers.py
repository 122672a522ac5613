"""What a holder of batches knows of each replica."""

from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import paces


class Worker:
    """What is known of one replica."""

    def __init__(self, replica, slowdowns):
        self.replica = replica
        self.running = 0
        # Places that may be used here; None for all.
        self.limit = None
        self.clear_runs({})
        self.not_before = 0.0
        self.pace = paces.Pace(slowdowns)
        self._version_by_model = {}
        self.update_versions(replica.versions)

    def clear_runs(self, tokens_by_service):
        """Forget what the runs here hold and when they are to end."""
        total = tokens_by_service.get(self.replica.service, 0)
        self.memory = memory.EngineMemory(total)
        # Seconds until each of our runs here is expected to end, a heap.
        self.run_ends_s = []

    @property
    def name(self):
        """The replica's id."""
        return self.replica.replica_id

    @property
    def load(self):
        """Share of the slots that our own runs take."""
        return self.running / max(1, self.replica.slots)

    def round_down_to_slots(self, share):
        """Return a share of something, down to whole slots."""
        slots = max(1, self.replica.slots)
        return int(share * slots) / slots

    @property
    def free_slots(self):
        """How many more items would start at once."""
        slots = max(1, self.replica.slots)
        return (slots if self.limit is None else self.limit) - self.running

    def update_versions(self, versions):
        """Take in `facts.ModelVersion`s; they only rise."""
        for model, version in versions:
            known = self._version_by_model.get(model, 0)
            self._version_by_model[model] = max(known, version)

    def may_have_version(self, model, min_version):
        """Return whether `model` is not known to be too old here."""
        known = self._version_by_model.get(model, 0)
        return not known or known >= min_version

    def accepts(self, model, min_version):
        """Return whether a new item for `model` would start here."""
        is_loading = model in self.replica.loading
        return not is_loading and self.may_have_version(model, min_version)


def can_start(worker, item, now):
    """Return whether `worker` takes a `WaitingItem` or `Run` now."""
    return worker.free_slots > 0 and can_start_once_free(worker, item, now)


def can_start_once_free(worker, item, now):
    """Return whether it would take it with a place free."""
    replica = worker.replica
    return (
        replica.service == item.service
        and not replica.is_draining
        and worker.not_before <= now
        and worker.accepts(item.model, item.min_version)
    )
