"""Opens batches that this process has just become the owner of."""

import asyncio
import time

from anvilwell_gateway.batches import owned_batch as owned_batches
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class BatchOpener:
    """Opens accepted batches and those that were taken over.

    Parameters
    ----------
    manager : manager.BatchManager
        Runs the batches that this process owns.
    owners : owners.Owners
        The owners of all batches.
    cluster_state : cluster_state.ClusterState
        The ended batches.
    """

    def __init__(self, manager, owners, cluster_state):
        self._manager = manager
        self._owners = owners
        self._cluster_state = cluster_state

    def open(self, route, submission, claim, restored):
        """Open a batch unless another process has taken it over.

        Returns whether it was opened. The check is needed because the change
        of its owner was received before the batch was open here and will not
        be received again.
        """
        batch_id = submission.batch_id
        if self._owners.is_superseded(batch_id, claim):
            _LOG.log("batch-not-opened", batch_id=batch_id)
            return False
        loop = asyncio.get_running_loop()
        age_s = max(0.0, time.time() - claim.owner.submitted_at)
        abandon_at = loop.time() + route.max_queue_s - age_s
        batch = owned_batches.OwnedBatch(claim, route, submission, abandon_at)
        results, batch.chunks, saved = restored
        batch.state.restore(results, saved)
        self._manager.open(batch)
        if batch_id in self._cluster_state.ended:
            self._manager.end(batch_id)
        return True
