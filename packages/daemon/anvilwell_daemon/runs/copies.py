"""Copies of sample bytes on daemons in other failure domains."""

import abc

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import samples as messages
from anvilwell_kernel import reasons

COPY_TIMEOUT_S = 5.0


class Neighbours(abc.ABC):
    """Knows which daemons can keep copies."""

    @abc.abstractmethod
    def others(self):
        """Return VM ids in other failure domains, preferred first."""


class Copies:
    """Keeps, finds and discards copies over ``peers``.

    Parameters
    ----------
    vm_id : str
        This daemon's VM id.
    store : bytes_store.BytesStore
        This daemon's own bytes.
    peers : daemon.peers.service.Peers
        The control links.
    neighbours : Neighbours
        Who may keep a copy.
    """

    def __init__(self, vm_id, store, peers, neighbours):
        self._vm_id = vm_id
        self._store = store
        self._peers = peers
        self._neighbours = neighbours

    async def spread(self, sample, digest):
        """Copy a sample of this store; return all holders' VM ids.

        Raises
        ------
        exceptions.AnvilwellError
            If no daemon in another failure domain took it.
        """
        body = self._store.find(sample, digest)
        error = exceptions.Refused(
            "no daemon in another failure domain is known",
            reason=reasons.Refusal.MEMBERS_MISSING,
            retry_after=1.0,
        )
        for vm_id in self._neighbours.others():
            try:
                await self._peers.request(
                    vm_id,
                    messages.KeepSample(sample, digest, body),
                    COPY_TIMEOUT_S,
                )
            except exceptions.AnvilwellError as failure:
                error = failure
                continue
            return (self._vm_id, vm_id)
        raise error

    async def fetch(self, sample, digest, holders):
        """Bring a sample into this store from one of `holders`.

        Returns
        -------
        bool or None
            True if it is here, False if every holder surely lacks it,
            None if some could not be asked.
        """
        if self._store.find(sample, digest) is not None:
            return True
        unsure = False
        for vm_id in holders:
            if vm_id == self._vm_id:
                continue
            try:
                answer = await self._peers.request(
                    vm_id,
                    messages.FetchSample(sample, digest),
                    COPY_TIMEOUT_S,
                )
            except exceptions.AnvilwellError:
                unsure = True
                continue
            if answer.body is not None:
                self._store.keep(sample, digest, answer.body)
                return True
        return None if unsure else False

    async def discard(self, sample, digest, holders):
        """Let every holder forget a sample; errors do not matter."""
        self._store.discard(sample, digest)
        for vm_id in holders:
            if vm_id == self._vm_id:
                continue
            try:
                await self._peers.send(
                    vm_id, messages.DiscardSample(sample, digest)
                )
            except exceptions.AnvilwellError:
                continue
