"""Tests which entries a submission is forwarded to, one after another."""

import asyncio
import types
from unittest import mock

from anvilwell_gateway.batches import submission_forwarding
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel.config import options

REQUEST = messages.Request("POST", "/batches", (), b"{}")


def test_an_entry_that_was_lost_meanwhile_is_passed_over():
    """Guard against failing a submission as its second target is gone."""
    addresses_by_vm = {
        vm_id: options.Address("127.0.0.1", 1) for vm_id in ("vm1", "vm2")
    }
    homes = types.SimpleNamespace(ranked=lambda *_: ["vm1", "vm2"])
    rules = types.SimpleNamespace(
        of_request=lambda *_: types.SimpleNamespace(may_own=False)
    )

    async def call(*_):
        del addresses_by_vm["vm2"]
        raise client.call_error("no response")

    async def scenario():
        forwarder = submission_forwarding.SubmissionForwarder(
            "vm0",
            types.SimpleNamespace(addresses_by_vm=addresses_by_vm),
            homes,
            rules,
        )
        forwarder._pool = mock.Mock(call=call)
        route = types.SimpleNamespace(targets=())
        return await forwarder.forward(route, "m", REQUEST)

    outcome = asyncio.run(scenario())
    assert outcome is submission_forwarding.ForwardOutcome.UNKNOWN
