"""Ends tasks of this process, and tells of those that had failed."""

import asyncio

from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


async def stop(*tasks, cause=None):
    """Cancel tasks and wait for their end.

    One that had failed before, or fails as it is cancelled, leaves a line in
    the log: nobody else asks for its outcome.

    Parameters
    ----------
    *tasks : asyncio.Task or None
        None is no task.
    cause : str, optional
        What those that are cancelled are told.
    """
    tasks = [task for task in tasks if task is not None]
    for task in tasks:
        task.cancel(cause)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            _LOG.log("task-failed", cause=repr(outcome))
