"""The state of one replica as its leader sees it."""

from anvilwell_kernel.messages import orders as messages

# No further order is sent for this time after one, unless a report shows
# earlier that it is over.
ORDER_TIMEOUT_S = 3.0


class Replica:
    """The last report of a replica and the order that it may be executing.

    An order counts as pending until its agent reports that it accepted this
    order or a later one, until the engine reports the order's version, or
    until a later order replaces it. It never expires by time, since a
    delayed order may still arrive. For the same reason a load does not
    replace a pending activation in deciding whether the replica serves.
    """

    def __init__(self, vm_id, failure_domain):
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self.report = None
        self.order = None
        self._activation = None
        self._ordered_at = None
        self._sequence = 0

    def accept(self, report, fencing):
        """Store `report` if it is new and was made under `fencing`.

        Returns
        -------
        bool
            Whether the report was stored.
        """
        if report.fencing != fencing or report.sequence <= self._sequence:
            return False
        self._sequence = report.sequence
        self.report = report
        if self.order and self._is_over(self.order):
            self.order = None
        if self._activation and self._is_over(self._activation):
            self._activation = None
        return True

    def mark_unreachable(self):
        """Drop the last report, since the agent did not respond."""
        self.report = None

    def record_order(self, order, now):
        """Record that `order` was sent at `now`."""
        self.order = order
        if order.kind is messages.Kind.ACTIVATE:
            self._activation = order
        self._ordered_at = now

    def is_free(self, now):
        """Return whether the replica can execute an order now."""
        if self.report is None:
            return False
        if self.order and now - self._ordered_at < ORDER_TIMEOUT_S:
            return False
        return self.report.activity is messages.Activity.IDLE

    @property
    def is_waiting(self):
        """Whether the agent waits before a retry, after a failed order."""
        waiting = messages.Activity.WAITING
        return self.report is not None and self.report.activity is waiting

    @property
    def is_in_service(self):
        """Whether the replica certainly serves a version that is known."""
        if self.report is None or not self.report.version:
            return False
        if self._activation:
            return False
        return self.report.activity is not messages.Activity.ACTIVATING

    def _is_over(self, order):
        return (
            self.report.number >= order.number
            or self.report.version == order.version
        )

    def has_version(self, version):
        """Return whether the engine runs `version`."""
        return self.report is not None and self.report.version == version

    def has_loaded(self, version):
        """Return whether the engine has loaded `version`."""
        return self.report is not None and (
            version in self.report.loaded or version == self.report.version
        )

    def has_failed(self, version, generation):
        """Return whether the agent abandoned `version` under `generation`."""
        failed = messages.Failed(version, generation)
        return self.report is not None and failed in self.report.failed
