"""Runs a kernel: start, signals, drain, stop and exit codes."""

import asyncio
import os
import signal

from anvilwell_daemon.process import factories
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_NOT_DRAINED = os.EX_TEMPFAIL

_LOG = logs.get_logger(__name__)


def run(settings):
    """Run the daemon with `settings` until SIGTERM or SIGINT.

    Returns
    -------
    int
        ``EX_OK`` after a whole drain, ``EX_TEMPFAIL`` if requests were
        left, ``EX_CONFIG`` or ``EX_UNAVAILABLE`` if it could not start.
    """
    return asyncio.run(_run(settings))


async def _run(settings):
    signals = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, signals.put_nowait, number)
    kernel = None
    try:
        kernel = factories.build(settings)
        await kernel.start()
        return await serve(kernel, signals, settings.daemon.drain_limit_s)
    except exceptions.AnvilwellError as error:
        _LOG.log("cannot-start", cause=error.message)
        return os.EX_CONFIG
    except OSError as error:
        _LOG.log("cannot-start", cause=str(error))
        return os.EX_UNAVAILABLE
    finally:
        if kernel:
            await kernel.stop()


async def serve(kernel, signals, drain_limit_s):
    """Wait for a signal, then drain; return an exit code.

    Parameters
    ----------
    kernel : services.Kernel
        Started services.
    signals : asyncio.Queue
        Gets an item for each signal; the second ends the drain.
    drain_limit_s : float
        Longest drain.
    """
    _LOG.log("started")
    await signals.get()
    _LOG.log("draining", in_flight=kernel.in_flight())
    drain = asyncio.create_task(kernel.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait(
        (drain, second),
        timeout=drain_limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    second.cancel()
    if drain.done():
        drain.result()
        _LOG.log("drained")
        return os.EX_OK
    drain.cancel()
    await asyncio.gather(drain, return_exceptions=True)
    _LOG.log("not-drained", in_flight=kernel.in_flight())
    return EXIT_NOT_DRAINED
