"""Tells other entries directly which requests a replica cut as it ended.

The store tells them too, and whoever comes later; but while it takes no
writes, each entry would let the same request end as many replicas again.
Ends are rare, so each goes to every entry, in a millisecond or two.
"""

import asyncio
import itertools
import typing

import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import bodies
from anvilwell_gateway.http import client
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/ends"
# An entry answers within milliseconds; one that does not is not there.
LIMITS = bodies.Limits(timeout_s=0.5, max_bytes=4 << 10)
# Waits between tries, the last one again and again: an entry that can't be
# reached from here may take callers all the same.
RETRIES_S = (0.25, 0.5, 1.0, 2.0, 4.0)
# Ends that are kept for entries that lack them, the oldest make room: some
# racks of replicas.
MOST_UNTOLD = 256


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


class _Told(typing.NamedTuple):
    """The ends that one life of an entry is known to know."""

    life: str
    ends: frozenset


_NOTHING = _Told("", frozenset())


def waits_s():
    """Return the waits between tries at other entries, in seconds."""
    return itertools.chain(RETRIES_S, itertools.repeat(RETRIES_S[-1]))


class Teller:
    """Tells each entry that is known, one message at a time.

    One that is heard of after an end is told of it then. An end is told for
    as long as it holds a request back.

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
        self._clock = asyncio.get_running_loop().time
        self._pool = client.Pool(self._clock, True)
        self._noted_at_by_end = {}
        self._told_by_vm = {}
        self._tasks_by_vm = {}

    def tell(self, end):
        """Tell all other entries of an `End`."""
        self._noted_at_by_end[end] = self._clock()
        excess = len(self._noted_at_by_end) - MOST_UNTOLD
        for oldest in list(self._noted_at_by_end)[: max(0, excess)]:
            del self._noted_at_by_end[oldest]
            _LOG.log("end-forgotten", replica=oldest.replica_id)
        self.entries_changed()

    def entries_changed(self):
        """Tell each entry that is known what it lacks."""
        if not self._noted_at_by_end:
            return
        vm_ids = set(self._news.addresses_by_vm) - {self._vm_id}
        self._told_by_vm = {
            vm_id: told
            for vm_id, told in self._told_by_vm.items()
            if vm_id in vm_ids
        }
        for vm_id in sorted(vm_ids.difference(self._tasks_by_vm)):
            if self._untold(vm_id):
                task = asyncio.create_task(self._tell_on(vm_id))
                self._tasks_by_vm[vm_id] = task

    def _untold(self, vm_id):
        """Return the ends that an entry lacks, as far as is known here."""
        oldest_at = self._clock() - quarantines.LONG_PAUSE_S
        self._noted_at_by_end = {
            end: at
            for end, at in self._noted_at_by_end.items()
            if at > oldest_at
        }
        told = self._told(vm_id, self._life(vm_id))
        return tuple(end for end in self._noted_at_by_end if end not in told)

    def _life(self, vm_id):
        return self._news.lives_by_vm.get(vm_id, "")

    def _told(self, vm_id, life):
        """Return the ends that one life of an entry was told."""
        known = self._told_by_vm.get(vm_id, _NOTHING)
        return known.ends if known.life == life else frozenset()

    async def _tell_on(self, vm_id):
        """Tell an entry that lives what it lacks, what comes meanwhile too.

        One that is not known to live is told once it is heard of again.
        """
        pauses_s = waits_s()
        try:
            while self._lives(vm_id) and (untold := self._untold(vm_id)):
                life = self._life(vm_id)
                try:
                    await self._tell(vm_id, untold)
                except exceptions.AnvilwellError as error:
                    self._log_untold(vm_id, untold, error.message)
                    await asyncio.sleep(next(pauses_s))
                else:
                    self._note(vm_id, life, untold)
                    pauses_s = waits_s()
        finally:
            del self._tasks_by_vm[vm_id]

    def _lives(self, vm_id):
        return vm_id in self._news.addresses_by_vm

    def _note(self, vm_id, life, ends):
        """Note what an entry was told, as long as it would be told."""
        told = self._told(vm_id, life).intersection(self._noted_at_by_end)
        self._told_by_vm[vm_id] = _Told(life, told.union(ends))

    async def _tell(self, vm_id, told):
        address = self._news.addresses_by_vm[vm_id]
        await bodies.ask(self._pool, vm_id, address, TARGET, told, LIMITS)

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
        await tasks.stop(*self._tasks_by_vm.values())
        self._pool.close()
