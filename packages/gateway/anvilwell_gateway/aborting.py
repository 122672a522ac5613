"""Ends requests that a stopping process can no longer wait for."""

import asyncio
import contextlib

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

# How long the answers to requests that were cut may take, in seconds.
RESPONSE_GRACE_S = 0.3

_LOG = logs.get_logger(__name__)


class RequestAborter:
    """Ends the requests of one server by an error that its handler answers.

    Parameters
    ----------
    server : server.Server
        What reads them.
    """

    def __init__(self, server):
        self._server = server
        self._timeouts = set()
        self._is_aborted = False

    @contextlib.asynccontextmanager
    async def guard(self):
        """Hold one request, whose handler goes on until the cut.

        Raises
        ------
        exceptions.Refused
            If the cut is over: the request has not run.
        exceptions.Timeout
            At the cut; the request may have run.
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
                "this VM stopped meanwhile", reason=reasons.Refusal.DRAINING
            ) from None
        finally:
            self._timeouts.discard(timeout)

    async def abort(self):
        """End all requests now, and wait a moment for their answers."""
        self._is_aborted = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
        try:
            async with asyncio.timeout(RESPONSE_GRACE_S):
                await self._server.finish()
        except TimeoutError:
            _LOG.log("answers-not-sent", requests=self._server.in_flight)
