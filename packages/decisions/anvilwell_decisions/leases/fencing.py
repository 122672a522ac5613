"""Checks the fencing number of every order to an agent's engine."""

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

RETRY_AFTER_S = 1.0


class FencingGate:
    """Rejects orders whose fencing number is lower than the highest issued.

    After the agent starts, no order passes until the highest number issued is
    known, since the agent may have seen a higher one before it crashed. The
    number is read from the counter in the key-value service. While that is
    down, the agent waits: any other source may have missed the latest
    takeover.
    """

    def __init__(self):
        self.highest = None

    def raise_to(self, number):
        """Record the fencing number that was read from the counter."""
        self.highest = max(number, self.highest or 0)

    def admit(self, number):
        """Let an order with fencing number `number` pass.

        Raises
        ------
        exceptions.Refused
            If the highest number is not known yet; the order may be retried.
        exceptions.Fenced
            If a higher number has been issued.
        """
        if self.highest is None:
            raise exceptions.Refused(
                "this agent has restarted and has not yet read the highest"
                " fencing number from the key-value service",
                reason=reasons.Refusal.KEY_VALUE_UNAVAILABLE,
                retry_after=RETRY_AFTER_S,
            )
        if number < self.highest:
            raise exceptions.Fenced(
                f"fencing number {number} is outdated; the highest is"
                f" {self.highest}"
            )
        self.highest = number
