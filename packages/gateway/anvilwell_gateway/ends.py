"""Tells other entries directly which requests a replica cut as it ended.

The store tells them too, and whoever comes later; but while it takes no
writes, each entry would let the same request end as many replicas again.
Ends are rare, so each goes to every entry, in a millisecond or two.
"""

import asyncio
import typing

import pydantic

from anvilwell_gateway import bodies
from anvilwell_gateway.http import client
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/ends"
# An entry answers within milliseconds; one that does not is not there.
TIMEOUT_S = 0.5
# Waits between tries. They outlast a short cut; the store tells what is
# left, once it takes writes again.
RETRIES_S = (0.25, 0.5, 1.0, 2.0, 4.0)
# Ends that wait for one entry, the oldest make room: some racks of replicas.
MOST_UNTOLD = 256
MAX_ANSWER_BYTES = 4 << 10


class End(typing.NamedTuple):
    """A replica that ended, and the requests that it cut then."""

    replica_id: str
    fingerprints: tuple[str, ...]


_ENDS = pydantic.TypeAdapter(tuple[End, ...])

_LOG = logs.get_logger(__name__)


def read(body):
    """Return each `End` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return bodies.read(_ENDS, body, "ends of replicas")


class Teller:
    """Tells each entry that is known, one message at a time.

    Parameters
    ----------
    vm_id : str
        This VM, which is not told.
    news : news.News
        The entries that live, and where.
    """

    def __init__(self, vm_id, news):
        self._vm_id = vm_id
        self._news = news
        self._pool = client.Pool(asyncio.get_running_loop().time, True)
        self._untold_by_vm = {}
        self._tasks_by_vm = {}

    def tell(self, end):
        """Tell all other entries of an `End`."""
        for vm_id in self._news.addresses_by_vm:
            if vm_id != self._vm_id:
                self._add(vm_id, end)

    def _add(self, vm_id, end):
        untold = self._untold_by_vm.setdefault(vm_id, [])
        untold.append(end)
        if len(untold) > MOST_UNTOLD:
            self._log_untold(vm_id, [untold.pop(0)], "too many wait")
        if vm_id not in self._tasks_by_vm:
            task = asyncio.create_task(self._tell_on(vm_id))
            self._tasks_by_vm[vm_id] = task

    async def _tell_on(self, vm_id):
        """Tell an entry what it lacks, what comes meanwhile too."""
        untold = self._untold_by_vm[vm_id]
        try:
            while untold:
                told = tuple(untold)
                await self._tell_until_known(vm_id, told)
                untold[:] = [end for end in untold if end not in told]
        except exceptions.AnvilwellError as error:
            self._log_untold(vm_id, untold, error.message)
        finally:
            del self._tasks_by_vm[vm_id]
            del self._untold_by_vm[vm_id]

    async def _tell_until_known(self, vm_id, told):
        for retry_s in RETRIES_S:
            try:
                return await self._tell(vm_id, told)
            except exceptions.AnvilwellError as error:
                self._log_untold(vm_id, told, error.message)
                await asyncio.sleep(retry_s)
        return await self._tell(vm_id, told)

    async def _tell(self, vm_id, told):
        address = self._news.addresses_by_vm.get(vm_id)
        if address is None:
            raise exceptions.Refused("the entry is not known to live")
        question = bodies.question(TARGET, address, told)
        reply, _ = await self._pool.ask(
            vm_id, address, question, TIMEOUT_S, MAX_ANSWER_BYTES
        )
        if reply.status != 200:
            raise client.failed(f"status {reply.status}")

    @staticmethod
    def _log_untold(vm_id, untold, cause):
        _LOG.log(
            "end-not-told",
            entry=vm_id,
            replicas=[end.replica_id for end in untold],
            cause=cause,
        )

    async def stop(self):
        """Tell no more."""
        tasks = list(self._tasks_by_vm.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pool.close()
