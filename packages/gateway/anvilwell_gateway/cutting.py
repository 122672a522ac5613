"""Ends requests that a stopping process can no longer wait for."""

import asyncio
import contextlib

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

# How long the answers to requests that were cut may take, in seconds.
ANSWER_S = 0.3

_LOG = logs.get_logger(__name__)


class Cutter:
    """Ends the requests of one server by an error that its handler answers.

    Parameters
    ----------
    server : server.Server
        What reads them.
    """

    def __init__(self, server):
        self._server = server
        self._limits = set()
        self._is_cut = False

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
        if self._is_cut:
            raise exceptions.Refused(
                "this VM is stopping", reason=reasons.Refusal.DRAINING
            )
        limit = asyncio.timeout(None)
        self._limits.add(limit)
        try:
            async with limit:
                yield
        except TimeoutError:
            if not limit.expired():
                raise
            raise exceptions.Timeout(
                "this VM stopped meanwhile", reason=reasons.Refusal.DRAINING
            ) from None
        finally:
            self._limits.discard(limit)

    async def cut(self):
        """End all requests now, and wait a moment for their answers."""
        self._is_cut = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)
        try:
            async with asyncio.timeout(ANSWER_S):
                await self._server.finish()
        except TimeoutError:
            _LOG.log("answers-not-sent", requests=self._server.in_flight)
