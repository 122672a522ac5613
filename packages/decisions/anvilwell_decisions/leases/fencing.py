"""The agent's check of fencing numbers, its engine's only door."""

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

RETRY_AFTER_S = 1.0


class FencingGate:
    """Lets orders through whose fencing number is not an old one.

    After a start nothing passes until the highest number given is
    known: the agent may have been told a higher one before it died. It
    learns it from the key-value service's counter. While that is down,
    the word of others cannot stand in, since they may have missed the
    latest take-over; so it waits.
    """

    def __init__(self):
        self.highest = None

    def raise_to(self, number):
        """Take `number` as given; from a read of the counter."""
        self.highest = max(number, self.highest or 0)

    def admit(self, number):
        """Let an order with `number` pass.

        Raises
        ------
        exceptions.Refused
            If the highest number is not known yet; ask again later.
        exceptions.Fenced
            If a higher number has been given.
        """
        if self.highest is None:
            raise exceptions.Refused(
                "this agent has restarted and waits for the key-value"
                " service to tell the highest fencing number",
                reason=reasons.Refusal.KEY_VALUE_UNAVAILABLE,
                retry_after=RETRY_AFTER_S,
            )
        if number < self.highest:
            raise exceptions.Fenced(
                f"fencing number {number} is old; {self.highest} was given"
            )
        self.highest = number
