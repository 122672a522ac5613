"""Tests what a run sends to a replica that may be cold."""

import asyncio
import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import runner as runners


class _Connection:
    """A connection that records what is written to it."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    def send(self, *request):
        self.sent.append(request)

    def close(self):
        self.is_closed = True


class _Pool:
    def __init__(self):
        self.connection = _Connection()

    async def acquire(self, key, address, use=None):
        return self.connection


def test_an_item_whose_turn_was_lost_is_not_sent():
    """Guard against a send after a suspension while a connection opened."""
    pool = _Pool()
    dialect = types.SimpleNamespace(
        item_headers=lambda item, host: (),
        replica_headers=lambda *args: (),
    )
    request = runners.RunRequest(
        facts.Item("i", "/", (), b"", "g"),
        "h",
        types.SimpleNamespace(last_number=0),
        0,
        False,
        1.0,
        permit=types.SimpleNamespace(use=lambda now: False),
    )
    replica = facts.Replica("r", "lm", None, "a", 1)

    result = asyncio.run(
        runners.Runner(dialect, pool, lambda replica: True).run(
            request, replica, None
        )
    )

    assert result.end is runners.RunEnd.HELD_BACK
    assert not pool.connection.sent
    assert pool.connection.is_closed
