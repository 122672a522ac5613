"""Only one agent works on a backend server."""

import pytest

from anvilwell_daemon.agent import lock
from anvilwell_kernel import exceptions


def test_second_agent_cannot_take_the_backend():
    first = lock.BackendLock("127.0.0.1:1")
    second = lock.BackendLock("127.0.0.1:1")
    other = lock.BackendLock("127.0.0.1:2")
    first.acquire()
    other.acquire()
    with pytest.raises(exceptions.Conflict, match="another agent"):
        second.acquire()
    first.release()
    second.acquire()
    second.release()
    other.release()
