"""Runs a kernel: start, signals, drain, stop and exit codes."""

import asyncio
import os
import signal

from anvilwell_daemon.process import factories
from anvilwell_kernel import exceptions
from anvilwell_kernel import loops
from anvilwell_kernel.telemetry import logs

SIGNALS = (signal.SIGTERM, signal.SIGINT)
ENTRY_GRACE_S = 1.0
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
    with asyncio.Runner(loop_factory=loops.BootTimeLoop) as runner:
        return runner.run(_run(settings))


async def _run(settings):
    signals = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, signals.put_nowait, number)
    kernel = None
    try:
        kernel = factories.build(settings)
        await kernel.start()
        grace_s = ENTRY_GRACE_S if settings.is_entry else 0.0
        limit_s = settings.daemon.drain_limit_s
        return await serve(kernel, signals, limit_s, grace_s)
    except exceptions.AnvilwellError as error:
        _LOG.log("cannot-start", cause=error.message)
        return os.EX_CONFIG
    except OSError as error:
        _LOG.log("cannot-start", cause=str(error))
        return os.EX_UNAVAILABLE
    finally:
        if kernel:
            await kernel.stop()


async def serve(kernel, signals, drain_limit_s, grace_s=0.0):
    """Wait for a signal, then drain; return an exit code.

    Parameters
    ----------
    kernel : services.Kernel
        Started services.
    signals : asyncio.Queue
        Gets an item for each signal; the second ends the drain.
    drain_limit_s : float
        Longest drain.
    grace_s : float
        Time between "not ready" and the first refusal, in which a
        balancer can look elsewhere.
    """
    _LOG.log("started")
    await signals.get()
    _LOG.log("draining", in_flight=kernel.in_flight())
    drain = asyncio.create_task(_drain(kernel, grace_s))
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


async def _drain(kernel, grace_s):
    kernel.is_draining = True
    await asyncio.sleep(grace_s)
    await kernel.drain()
