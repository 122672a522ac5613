"""From HTTP handler threads to the services on the event loop."""

import asyncio
import concurrent.futures

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

CALL_TIMEOUT_S = 9.5


class Bridge:
    """Finds services by name and runs work on the event loop.

    Parameters
    ----------
    kernel : services.Kernel
        Holds the services.
    loop : asyncio.AbstractEventLoop
        The loop that the services run on.
    """

    def __init__(self, kernel, loop):
        self.kernel = kernel
        self._loop = loop

    def service(self, name):
        """Return the service called `name`.

        Raises
        ------
        exceptions.Refused
            If this process has no such service.
        """
        if self.kernel.has(name):
            return self.kernel.get(name)
        raise exceptions.Refused(
            f"this entry runs without the service {name!r}; ask another",
            reason=reasons.Refusal.NOT_CONFIGURED,
        )

    def wait_for(self, work):
        """Run the coroutine `work` on the loop and return its result.

        Raises
        ------
        exceptions.Timeout
            If it takes too long; it may have had its effect.
        """
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(CALL_TIMEOUT_S)
        except concurrent.futures.TimeoutError as error:
            future.cancel()
            raise exceptions.Timeout(
                f"no result within {CALL_TIMEOUT_S} s"
            ) from error

    def run(self, function, *args):
        """Run ``function(*args)`` on the loop and return its result."""
        return self.wait_for(_as_coroutine(function, args))


async def _as_coroutine(function, args):
    return function(*args)
