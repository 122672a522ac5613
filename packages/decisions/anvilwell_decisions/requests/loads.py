"""Estimates the load of replicas from own requests and delayed reports."""


class Loads:
    """Estimates the load of each replica.

    A report says how much of the load is this entry's own. That part is
    replaced by the number of requests that the entry has in flight now, so
    that only the part of the other entries is out of date.
    """

    def __init__(self):
        self._own_by_id = {}
        self._others_by_id = {}
        self._reported_by_id = {}
        self.total_own = 0

    def started(self, replica_id):
        """Count an attempt that was sent to a replica."""
        self._own_by_id[replica_id] = self._own_by_id.get(replica_id, 0) + 1
        self.total_own += 1

    def ended(self, replica_id):
        """Count the end of an attempt at a replica."""
        own = self._own_by_id.get(replica_id, 0)
        if own == 0:
            return
        self.total_own -= 1
        if own == 1:
            del self._own_by_id[replica_id]
        else:
            self._own_by_id[replica_id] = own - 1

    def report(self, report):
        """Record the load report of a replica, which arrives with a delay."""
        self._reported_by_id[report.replica_id] = report.in_flight
        others = max(0, report.in_flight - report.own)
        self._others_by_id[report.replica_id] = others

    def forget(self, replica_id):
        """Drop the reports of a replica; its own attempts stay counted."""
        self._others_by_id.pop(replica_id, None)
        self._reported_by_id.pop(replica_id, None)

    def own(self, replica_id):
        """Return this entry's requests in flight at a replica."""
        return self._own_by_id.get(replica_id, 0)

    def others(self, replica_id):
        """Return other entries' requests at a replica, as last reported."""
        return self._others_by_id.get(replica_id, 0)

    def reported(self, replica_id):
        """Return the total load of a replica as last reported."""
        return self._reported_by_id.get(replica_id, 0)

    def estimate(self, replica_id):
        """Return the estimated current load of a replica."""
        return self.own(replica_id) + self.others(replica_id)
