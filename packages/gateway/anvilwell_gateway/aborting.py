"""Aborts requests that a stopping process can no longer wait for."""

import asyncio
import contextlib

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

# Time limit for sending the responses to aborted requests, in seconds.
RESPONSE_GRACE_S = 0.3

_LOG = logs.get_logger(__name__)


class RequestAborter:
    """Aborts a server's requests by raising an error in their handlers.

    Parameters
    ----------
    server : server.Server
        The server that receives the requests.
    """

    def __init__(self, server):
        self._server = server
        self._timeouts = set()
        self._is_aborted = False

    @contextlib.asynccontextmanager
    async def guard(self):
        """Run one request's handler so that `abort` can interrupt it.

        Raises
        ------
        exceptions.Refused
            If `abort` was called before: the request has not run.
        exceptions.Timeout
            If `abort` is called meanwhile: the request may have run.
        """
        if self._is_aborted:
            raise exceptions.Refused(
                "this VM is stopping", reason=reasons.Refusal.DRAINING
            )
        timeout = asyncio.timeout(None)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        except TimeoutError:
            if not timeout.expired():
                raise
            raise exceptions.Timeout(
                "this VM stopped while it handled the request",
                reason=reasons.Refusal.DRAINING,
            ) from None
        finally:
            self._timeouts.discard(timeout)

    async def abort(self):
        """Abort all requests, and wait briefly until they are answered."""
        self._is_aborted = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
        try:
            async with asyncio.timeout(RESPONSE_GRACE_S):
                await self._server.finish()
        except TimeoutError:
            _LOG.log("answers-not-sent", requests=self._server.in_flight)
