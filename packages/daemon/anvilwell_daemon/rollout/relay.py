"""The service ``order-relay``: passes a batch on within a domain."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import orders as messages
from anvilwell_kernel import services

CONCURRENCY = 16
ORDER_TIMEOUT_S = 2.0


class OrderRelay(services.Service):
    """Sends each order of a batch to its agent and gathers the answers.

    Every daemon can do it and keeps nothing: the leader picks one for
    each failure domain, so that its own cost grows with the domains.
    """

    name = "order-relay"
    needs = ("peers",)

    def __init__(self):
        self._peers = None
        self._local = None

    async def start(self, kernel):
        """Begin to take batches."""
        self._peers = kernel.get("peers")
        if kernel.has("engine-orders"):
            self._local = kernel.get("engine-orders")
        self._peers.declare(messages.KINDS)
        self._peers.on(messages.Batch, self.take)

    async def take(self, vm_id, batch):
        """Pass on a `messages.Batch`; return a `messages.BatchReport`."""
        room = asyncio.Semaphore(CONCURRENCY)
        answers = await asyncio.gather(
            *(self._pass_on(target, room) for target in batch.targets)
        )
        pairs = list(zip(batch.targets, answers, strict=True))
        return messages.BatchReport(
            [a for a in answers if isinstance(a, messages.Report)],
            [a for a in answers if isinstance(a, messages.Refusal)],
            [target.vm_id for target, answer in pairs if answer is None],
        )

    async def _pass_on(self, target, room):
        async with room:
            try:
                if target.vm_id == self._peers.vm_id and self._local:
                    return await self._local.take(target.vm_id, target.order)
                self._peers.learn(target.vm_id, target.address)
                return await self._peers.request(
                    target.vm_id, target.order, ORDER_TIMEOUT_S
                )
            except exceptions.AnvilwellError:
                return None
