"""The service ``replicas``: links to the agents that can take calls."""

import asyncio
import random

from anvilwell_daemon.entry import routing
from anvilwell_daemon.links import data_link
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services


class Replicas(services.Service):
    """Keeps one link to each agent that it is told of.

    Parameters
    ----------
    hello : links.Hello
        Who this entry is.
    addresses : iterable of str
        ``host:port`` of the agents known from the start.
    """

    name = "replicas"

    def __init__(self, hello, addresses=(), source=None):
        self._hello = hello
        self._addresses = tuple(addresses)
        self._random = source or random.Random()
        self._links_by_address = {}
        self._tasks_by_address = {}

    async def start(self, kernel):
        """Dial the agents."""
        self.set_addresses(self._addresses)

    async def stop(self):
        """Close every link."""
        tasks = list(self._tasks_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_addresses(self, addresses):
        """Keep links to exactly `addresses`; on the loop's thread.

        A link with requests in flight stays until the next call after
        they ended.
        """
        wanted = set(addresses)
        for address in wanted - set(self._links_by_address):
            self._dial(address)
        for address in set(self._links_by_address) - wanted:
            self._hang_up(address)

    def link(self, replica_id):
        """Return the link to the replica called `replica_id`.

        Raises
        ------
        exceptions.Refused
            If there is no such link now.
        """
        for link in list(self._links_by_address.values()):
            if link.peer and link.peer.vm_id == replica_id:
                return link
        raise exceptions.Refused(
            f"no link to replica {replica_id!r}",
            reason=reasons.Refusal.NO_REPLICA,
        )

    def candidates(self, service):
        """Return a `routing.Candidate` for each usable replica."""
        return [
            routing.Candidate(
                link.peer.vm_id,
                link.peer.failure_domain,
                link.in_flight,
                link.load,
            )
            for link in list(self._links_by_address.values())
            if link.state is data_link.State.UP
            and link.peer.service == service
        ]

    def _dial(self, address):
        link = data_link.DataLink(address, self._hello, self._random)
        self._links_by_address[address] = link
        self._tasks_by_address[address] = asyncio.create_task(link.run())

    def _hang_up(self, address):
        link = self._links_by_address[address]
        link.leave()
        if link.in_flight:
            return
        del self._links_by_address[address]
        self._tasks_by_address.pop(address).cancel()
