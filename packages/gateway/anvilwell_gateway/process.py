"""Runs one gateway process from start to exit."""

import asyncio
import os
import signal

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

SIGNALS = (signal.SIGTERM, signal.SIGINT)

_LOG = logs.get_logger(__name__)


async def run(part, drain_limit_s, reloader):
    """Run `part` until SIGTERM or SIGINT and return an exit code.

    Parameters
    ----------
    part : entry.Entry or agent.Agent
        The role to run. Its requests are aborted if the drain takes too
        long.
    drain_limit_s : float
        Longest duration of the drain, in seconds.
    reloader : reloading.Reloader
        Reads the settings again on SIGHUP and when their file changes.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    watch = asyncio.create_task(reloader.watch())
    try:
        await part.start()
        _LOG.log("started")
        await stop_requested.wait()
        _LOG.log("draining")
        return await _drain(part, drain_limit_s)
    except exceptions.AnvilwellError as error:
        _LOG.log("cannot-start", cause=error.message)
        return os.EX_CONFIG
    finally:
        watch.cancel()
        await part.stop()
        _LOG.log("stopped")


async def _drain(part, limit_s):
    try:
        async with asyncio.timeout(limit_s):
            await part.drain()
    except TimeoutError:
        _LOG.log("not-drained")
        await part.abort()
        return os.EX_TEMPFAIL
    _LOG.log("drained")
    return os.EX_OK


class IdleProcess:
    """A role without any work, for VMs that only have to run a process."""

    async def start(self):
        """Do nothing."""

    async def drain(self):
        """Do nothing."""

    async def abort(self):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""
