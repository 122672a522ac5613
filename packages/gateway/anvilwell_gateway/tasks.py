"""Cancels tasks, and logs those that had failed."""

import asyncio

from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


async def stop(*tasks, cause=None):
    """Cancel tasks and wait for their end.

    A task that failed before, or fails when it is cancelled, is logged, as
    its exception would be lost otherwise.

    Parameters
    ----------
    *tasks : asyncio.Task or None
        The tasks; each None is ignored.
    cause : str, optional
        The message of the `asyncio.CancelledError`.
    """
    tasks = [task for task in tasks if task is not None]
    for task in tasks:
        task.cancel(cause)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            _LOG.log("task-failed", cause=repr(outcome))
