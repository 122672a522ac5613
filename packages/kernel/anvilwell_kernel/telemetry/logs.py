"""Structured logs by eliot; one causal tree for each request."""

import logging
import sys

import eliot
from eliot import stdlib

from anvilwell_kernel.telemetry import bounded


class Logger:
    """Writes messages and actions of one module.

    Parameters
    ----------
    name : str
        The module's name; the prefix of its message types.
    """

    def __init__(self, name):
        self._name = name

    def log(self, event, **fields):
        """Write one message of type ``module:event``."""
        eliot.log_message(message_type=f"{self._name}:{event}", **fields)

    def routine(self, event, **fields):
        """Write one message that may be left out under load."""
        self.log(event, **fields, **{bounded.ROUTINE: True})

    def action(self, event, **fields):
        """Return a context that holds what happens inside it."""
        return eliot.start_action(
            action_type=f"{self._name}:{event}", **fields
        )

    def resume(self, task_id, event, **fields):
        """Return a context that goes on with another process's task.

        It starts a task of its own if `task_id` is "".
        """
        if not task_id:
            return self.action(event, **fields)
        return eliot.Action.continue_task(
            task_id=task_id, action_type=f"{self._name}:{event}", **fields
        )


def get_logger(name):
    """Return the logger of the module called `name`."""
    return Logger(name)


def current_task_id():
    """Return the current action's task id, "" outside any action."""
    action = eliot.current_action()
    return action.serialize_task_id().decode() if action else ""


def new_task_id_factory():
    """Return a function that gives a new id below the current action.

    Any thread may call it, also after it has left the action's context.
    """
    action = eliot.current_action()
    if action is None:
        return str
    return lambda: action.serialize_task_id().decode()


def start(path=None, **fields):
    """Write the log as JSON lines, and return what stops it.

    Parameters
    ----------
    path : pathlib.Path, optional
        File to append to; stdout if omitted.
    **fields
        Fields of every message, such as the VM's id.
    """
    # A line at a time: nothing is lost if the process is killed.
    stream = path.open("a", buffering=1) if path else sys.stdout
    destination = eliot.FileDestination(file=stream)
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)

    def stop():
        eliot.remove_destination(destination)
        if path:
            stream.close()

    return stop


def start_bounded(**fields):
    """Write the log to stdout without ever waiting for its reader.

    Returns what stops it. **fields** are added to every message.
    """
    destination = bounded.BoundedDestination(sys.stdout.fileno())
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)

    def stop():
        eliot.remove_destination(destination)
        destination.close()

    return stop


def capture_libraries():
    """Have the warnings of libraries written to the log, not to stderr."""
    logging.basicConfig(
        handlers=[stdlib.EliotHandler()], level=logging.WARNING, force=True
    )
