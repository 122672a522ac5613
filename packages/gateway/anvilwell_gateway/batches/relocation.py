"""Applies changed lists of allowed regions to the batches of this VM."""

from anvilwell_kernel.telemetry import logs

_RUN_CAUSE = "its region is no longer allowed"
_BATCH_CAUSE = "this VM's region is not allowed"

_LOG = logs.get_logger(__name__)


class Relocator:
    """Stops runs and hands over batches that are no longer allowed here.

    A batch that no live entry may own stays here, and nothing of it runs. Its
    items are given up when the time of the batch is over.

    Parameters
    ----------
    manager : manager.BatchManager
        The batches that this process owns.
    directory : directory.Directory
        The replicas and their failure domains.
    residency : residency.ResidencyRules
        The allowed regions in force.
    """

    def __init__(self, manager, directory, residency):
        self._manager = manager
        self._directory = directory
        self._residency = residency
        residency.listen(self._apply_lists)
        # The lists may have changed while a batch was being accepted.
        manager.on_opened = self.hand_over

    def _apply_lists(self):
        for batch in self._manager.batches_by_id.values():
            self._stop_runs(batch)
        self.hand_over()

    def hand_over(self):
        """Hand over the batches that another entry may own, but not this."""
        if not self._residency.is_active:
            return
        for batch in list(self._manager.batches_by_id.values()):
            bounds = self._residency.of_submission(batch.submission)
            if self._residency.may_own(bounds):
                continue
            if self._residency.owners(bounds):
                self._manager.hand_over(batch, _BATCH_CAUSE)
            else:
                _LOG.log("batch-waits", batch_id=batch.batch_id)

    def _stop_runs(self, batch):
        """Stop the runs that are no longer allowed; limit the others."""
        bounds = self._residency.of_submission(batch.submission)
        domains = bounds and bounds.domains
        for item_id, run in batch.runs_by_item.items():
            batch.runs_by_item[item_id] = run._replace(allowed_domains=domains)
            replica = self._directory.replicas_by_id.get(run.replica_id)
            may_go_on = bounds is None or (
                bounds.may_own
                and replica is not None
                and bounds.may_run(replica.failure_domain)
            )
            if not may_go_on:
                batch.tasks_by_item[item_id].cancel(_RUN_CAUSE)
