"""Keeps what an owner of batches has recorded about each replica."""

from anvilwell_decisions.batches import memory
from anvilwell_decisions.batches import paces


class Worker:
    """The state of one replica, as recorded by an owner of batches."""

    def __init__(self, replica, slowdowns):
        self.replica = replica
        self.running = 0
        # Number of the replica's slots that may be used; None for all.
        self.limit = None
        self.clear_runs({})
        self.not_before = 0.0
        # `send_windows.ReplicaSends` of a replica that may be cold, else None.
        self.sends = None
        self.pace = paces.Pace(slowdowns)
        self._version_by_model = {}
        self.update_versions(replica.versions)

    def clear_runs(self, tokens_by_service):
        """Clear the memory demand and the expected ends of all runs."""
        total = tokens_by_service.get(self.replica.service, 0)
        self.memory = memory.EngineMemory(total)
        # Heap of the expected remaining times of this entry's runs, in
        # seconds.
        self.run_ends_s = []

    @property
    def name(self):
        """The id of the replica."""
        return self.replica.replica_id

    @property
    def load(self):
        """Share of the slots that this entry's runs use."""
        return self.running / max(1, self.replica.slots)

    def round_down_to_slots(self, share):
        """Round a share of the replica down to whole slots."""
        slots = max(1, self.replica.slots)
        return int(share * slots) / slots

    @property
    def free_slots(self):
        """Number of further items that this replica could start now."""
        slots = max(1, self.replica.slots)
        return (slots if self.limit is None else self.limit) - self.running

    @property
    def is_cold(self):
        """Whether the replica counts as cold."""
        return self.sends is not None and self.sends.is_cold

    def may_send(self, now):
        """Return whether the replica may be sent one more request."""
        return self.sends is None or self.sends.may_send(now)

    def available_slots(self, now):
        """Return how many items may be sent to free slots now."""
        if self.sends is None:
            return self.free_slots
        return min(self.free_slots, self.sends.spare(now))

    def update_versions(self, versions):
        """Record `facts.ModelVersion`s; lower versions are ignored."""
        for model, version in versions:
            known = self._version_by_model.get(model, 0)
            self._version_by_model[model] = max(known, version)

    def may_have_version(self, model, min_version):
        """Return whether this replica's version of `model` may be new enough.

        It is False only if the version is known to be too old.
        """
        known = self._version_by_model.get(model, 0)
        return not known or known >= min_version

    def accepts(self, model, min_version):
        """Return whether this replica would start a new item for `model`."""
        is_loading = model in self.replica.loading
        return not is_loading and self.may_have_version(model, min_version)


def can_start(worker, item, now):
    """Return whether `worker` can start a `WaitingItem` or `Run` now."""
    return (
        worker.free_slots > 0
        and can_start_once_free(worker, item, now)
        and worker.may_send(now)
    )


def can_start_once_free(worker, item, now):
    """Return whether `worker` could start the item given a free slot.

    It may also have to wait until the replica may be sent a request.
    """
    replica = worker.replica
    return (
        replica.service == item.service
        and not replica.is_draining
        and _is_allowed(replica, item)
        and worker.not_before <= now
        and worker.accepts(item.model, item.min_version)
    )


def _is_allowed(replica, item):
    """Return whether an item may run in the replica's failure domain."""
    domains = item.allowed_domains
    return domains is None or replica.failure_domain in domains
