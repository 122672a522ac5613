"""Structured logs by eliot, with one tree of actions for each request."""

import logging
import sys

import eliot
from eliot import stdlib

from anvilwell_kernel.telemetry import bounded


class Logger:
    """Logs the messages and actions of one module.

    Parameters
    ----------
    name : str
        The module's name, which is the prefix of its message types.
    """

    def __init__(self, name):
        self._name = name

    def log(self, event, **fields):
        """Log a message of type ``module:event``."""
        eliot.log_message(message_type=f"{self._name}:{event}", **fields)

    def routine(self, event, **fields):
        """Log a message that may be dropped under load."""
        self.log(event, **fields, **{bounded.ROUTINE: True})

    def action(self, event, **fields):
        """Return a context manager that groups the messages inside it."""
        return eliot.start_action(
            action_type=f"{self._name}:{event}", **fields
        )

    def resume(self, task_id, event, **fields):
        """Return a context manager that continues a remote task.

        `task_id` was sent by the other process. If it is "", a new task is
        started.
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
    """Return the task id of the current action, or "" if there is none."""
    action = eliot.current_action()
    return action.serialize_task_id().decode() if action else ""


def new_task_id_factory():
    """Return a function that creates task ids below the current action.

    The function may be called from any thread, and also outside the context
    of the action. Without a current action, it returns "".
    """
    action = eliot.current_action()
    if action is None:
        return str
    return lambda: action.serialize_task_id().decode()


def start(path=None, **fields):
    """Start to write the log as JSON lines; return a function to stop.

    Parameters
    ----------
    path : pathlib.Path, optional
        File to append to; the default is stdout.
    **fields
        Fields to add to every message, such as the VM's id.
    """
    # Line buffering, so that no message is lost if the process is killed.
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
    """Start to write the log to stdout without waiting for its reader.

    Returns a function that stops it. `fields` are added to every message.
    """
    destination = bounded.BoundedDestination(sys.stdout.fileno())
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)

    def stop():
        eliot.remove_destination(destination)
        destination.close()

    return stop


def capture_libraries():
    """Write warnings of libraries to the log instead of stderr."""
    logging.basicConfig(
        handlers=[stdlib.EliotHandler()], level=logging.WARNING, force=True
    )
