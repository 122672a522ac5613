"""The service ``order-relay``: forwards orders in a failure domain."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import orders as messages
from anvilwell_kernel import services

CONCURRENCY = 16
ORDER_TIMEOUT_S = 2.0


class OrderRelay(services.Service):
    """Sends each order of a batch to its agent and collects responses.

    Every daemon can be a relay, as a relay keeps no state. The leader
    selects one per failure domain, so the number of messages that it
    sends grows with the domains and not with the agents.
    """

    name = "order-relay"
    needs = ("peers",)

    def __init__(self):
        self._peers = None
        self._local = None

    async def start(self, kernel):
        """Start accepting batches."""
        self._peers = kernel.get("peers")
        if kernel.has("engine-orders"):
            self._local = kernel.get("engine-orders")
        self._peers.declare(messages.KINDS)
        self._peers.on(messages.Batch, self.take)

    async def take(self, vm_id, batch):
        """Forward a `messages.Batch`; return a `messages.BatchReport`."""
        limiter = asyncio.Semaphore(CONCURRENCY)
        answers = await asyncio.gather(
            *(self._forward(target, limiter) for target in batch.targets)
        )
        pairs = list(zip(batch.targets, answers, strict=True))
        return messages.BatchReport(
            [a for a in answers if isinstance(a, messages.Report)],
            [a for a in answers if isinstance(a, messages.Refusal)],
            [target.vm_id for target, answer in pairs if answer is None],
        )

    async def _forward(self, target, limiter):
        async with limiter:
            try:
                if target.vm_id == self._peers.vm_id and self._local:
                    return await self._local.take(target.vm_id, target.order)
                self._peers.learn(target.vm_id, target.address)
                return await self._peers.request(
                    target.vm_id, target.order, ORDER_TIMEOUT_S
                )
            except exceptions.AnvilwellError:
                return None
