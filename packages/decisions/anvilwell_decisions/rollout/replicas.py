"""What a leader knows of one replica."""

from anvilwell_kernel.messages import orders as messages

ORDER_TIMEOUT_S = 3.0


class Replica:
    """The last report of one replica and the order it may be carrying out.

    An order counts as under way until a report made after it was
    admitted, until a later order replaced it or until the engine has
    its version anyway; never because time passed, since it may still
    arrive.
    """

    def __init__(self, vm_id, failure_domain):
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self.report = None
        self.order = None
        self._ordered_at = None
        self._sequence = 0

    def accept(self, report, fencing):
        """Take `report` if it was made under our `fencing`."""
        if report.fencing != fencing or report.sequence <= self._sequence:
            return False
        self._sequence = report.sequence
        self.report = report
        if self.order and self._is_over(self.order):
            self.order = None
        return True

    def mark_unreachable(self):
        """Note that it gave no answer."""
        self.report = None

    def record_order(self, order, now):
        """Note `order`, sent at `now`."""
        self.order = order
        self._ordered_at = now

    def is_free(self, now):
        """Return whether it can be given an order now."""
        if self.report is None:
            return False
        if self.order and now - self._ordered_at < ORDER_TIMEOUT_S:
            return False
        return self.report.activity is messages.Activity.IDLE

    @property
    def is_waiting(self):
        """Whether it backs off after a failed order."""
        waiting = messages.Activity.WAITING
        return self.report is not None and self.report.activity is waiting

    @property
    def is_in_service(self):
        """Whether it certainly serves some known version now."""
        if self.report is None or not self.report.version:
            return False
        if self.order and self.order.kind is messages.Kind.ACTIVATE:
            return False
        return self.report.activity is not messages.Activity.ACTIVATING

    def _is_over(self, order):
        return (
            self.report.number >= order.number
            or self.report.version == order.version
        )

    def has_version(self, version):
        """Return whether its engine runs `version`."""
        return self.report is not None and self.report.version == version

    def has_loaded(self, version):
        """Return whether its engine holds `version`."""
        return self.report is not None and (
            version in self.report.loaded or version == self.report.version
        )

    def has_failed(self, version, generation):
        """Return whether it gave `version` up under `generation`."""
        failed = messages.Failed(version, generation)
        return self.report is not None and failed in self.report.failed
