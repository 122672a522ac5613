"""The service ``sample-bytes``: every daemon keeps copies for others."""

from anvilwell_daemon.runs import bytes_store
from anvilwell_kernel.messages import samples as messages
from anvilwell_kernel import services


class Keeper(services.Service):
    """Keeps, gives and discards samples on other daemons' word.

    Parameters
    ----------
    limit_bytes : int
        Bytes kept at most; more are refused.
    """

    name = "sample-bytes"
    needs = ("peers",)

    def __init__(self, limit_bytes=bytes_store.LIMIT_BYTES):
        self.store = bytes_store.BytesStore(limit_bytes)

    async def start(self, kernel):
        """Answer other daemons' requests about bytes."""
        self.serve(kernel.get("peers"))

    def serve(self, peers):
        """Register the handlers at `peers`."""
        peers.declare(messages.KINDS)
        peers.on(messages.KeepSample, self._on_keep)
        peers.on(messages.FetchSample, self._on_fetch)
        peers.on(messages.DiscardSample, self._on_discard)

    async def _on_keep(self, vm_id, message):
        self.store.keep(message.sample, message.digest, message.body)
        return messages.SampleKept(message.digest)

    async def _on_fetch(self, vm_id, message):
        body = self.store.find(message.sample, message.digest)
        return messages.SampleBytes(message.digest, body)

    async def _on_discard(self, vm_id, message):
        self.store.discard(message.sample, message.digest)
