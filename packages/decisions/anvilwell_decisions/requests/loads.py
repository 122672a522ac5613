"""Own work in flight and lagging reports, put together."""


class Loads:
    """Estimates each replica's load.

    A report tells how much of the load is this entry's own; that part
    is replaced by what the entry itself has in flight now, so only the
    other entries' part is late.
    """

    def __init__(self):
        self._own_by_id = {}
        self._others_by_id = {}
        self._reported_by_id = {}
        self.total_own = 0

    def started(self, replica_id):
        """Count one attempt that was sent to a replica."""
        self._own_by_id[replica_id] = self._own_by_id.get(replica_id, 0) + 1
        self.total_own += 1

    def ended(self, replica_id):
        """Count the end of one attempt."""
        own = self._own_by_id.get(replica_id, 0)
        if own == 0:
            return
        self.total_own -= 1
        if own == 1:
            del self._own_by_id[replica_id]
        else:
            self._own_by_id[replica_id] = own - 1

    def report(self, report):
        """Take a late report."""
        self._reported_by_id[report.replica_id] = report.in_flight
        others = max(0, report.in_flight - report.own)
        self._others_by_id[report.replica_id] = others

    def forget(self, replica_id):
        """Drop the reports of a replica; its own work still ends."""
        self._others_by_id.pop(replica_id, None)
        self._reported_by_id.pop(replica_id, None)

    def own(self, replica_id):
        """Return this entry's own work in flight on a replica."""
        return self._own_by_id.get(replica_id, 0)

    def others(self, replica_id):
        """Return the other entries' work, as last reported."""
        return self._others_by_id.get(replica_id, 0)

    def reported(self, replica_id):
        """Return the whole load as last reported."""
        return self._reported_by_id.get(replica_id, 0)

    def estimate(self, replica_id):
        """Return the estimate of a replica's load now."""
        return self.own(replica_id) + self.others(replica_id)
