"""The asyncio event loop that all processes use."""

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock also runs while the VM is suspended.

    The monotonic clock stops during a suspension, but the rest of the
    system goes on: a lease may expire and its keys may pass to another
    process. With boot time, every age that is computed after the VM resumes
    includes the suspension, so the process confirms, claims or orders
    nothing on the basis of a lease that has expired. A timer that became due
    during the suspension fires in the next iteration of the loop, which
    comes with the next event, or at the latest when the wait that the
    suspension interrupted has run for the rest of its time.
    """

    def time(self):
        """Return the boot-time clock, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
