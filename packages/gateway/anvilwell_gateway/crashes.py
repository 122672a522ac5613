"""Tells entries which requests end replicas.

A request comes by any entry, so what one has seen must be known to all:
then it is refused after the second end, wherever it comes.
Each entry writes to the store which requests a replica cut as it ended; a
write for each replica that ends at work, and none while all is well. It
tells the other entries directly as well: the store may be away just then.
"""

import asyncio
import contextlib
import hashlib

import cbor2
import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import catching_up
from anvilwell_gateway import ends as ends_of_replicas
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_gateway import news
from anvilwell_gateway import tasks
from anvilwell_gateway import trials
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = f"{news.PREFIX}crashes/"
# Other entries tell and ask under these targets.
TARGETS = frozenset(
    (ends_of_replicas.TARGET, catching_up.TARGET, trials.TARGET)
)
# A replica whose process has ended refuses a connection within a round
# trip, a millisecond or two. A VM that is silent tells nothing in time.
LOOK_S = 0.1
# A refusal that is later still counts: this VM or the replica's may be busy.
LONGEST_LOOK_S = 2.0
# Ends that come together share a write: a rack's replicas end at once.
GATHER_S = 0.05
# Replicas' ends in one write; the store takes 32 keys.
MOST_KEYS = 32
# Between tries of a write that failed, as for reads of the store.
RETRY_S = 1.0


_END = pydantic.TypeAdapter(ends_of_replicas.End)

_LOG = logs.get_logger(__name__)


class Crashes:
    """Knows which requests end replicas, here and at other entries.

    Parameters
    ----------
    store : store.AsyncStore
        Where ends are told.
    directory : directory.Directory
        Says which replicas are gone.
    vm_id : str
        This VM.
    peers : news.News
        The other entries, which are told and asked directly.
    """

    def __init__(self, store, directory, vm_id, peers):
        self._store = store
        self._directory = directory
        self._vm_id = vm_id
        self._loop = asyncio.get_running_loop()
        self._quarantine = quarantines.Quarantine()
        self._direct = ends_of_replicas.Teller(vm_id, peers)
        self._catch_up = catching_up.CatchUp(vm_id, peers, self._catch)
        self._trials = trials.Trials(vm_id, peers, self._quarantine)
        self._untold_by_replica = {}
        self._told_by_replica = {}
        self._revisions_by_key = {}
        self._teller = None
        self._looks = set()
        self._lease = 0
        self._lease_until = float("-inf")
        directory.listen(self._replicas_changed)

    async def stop(self):
        """Tell no more."""
        await self._direct.stop()
        await self._catch_up.stop()
        await self._trials.stop()
        await tasks.stop(self._teller, *self._looks)

    def entries_changed(self):
        """Tell and ask the entries that were heard of since."""
        self._direct.entries_changed()
        self._catch_up.entries_changed()

    def gauge_values(self):
        """Return how many requests are held back."""
        held_back = self._quarantine.held_back(self._loop.time())
        return [measures.GaugeValue("requests_held_back", held_back)]

    @property
    def is_empty(self):
        """Whether no request is known to have ended a replica lately."""
        return self._quarantine.is_empty

    def wait_s(self, fingerprint):
        """Return how long a request is held back, in seconds; 0 if not."""
        return self._quarantine.wait_s(fingerprint, self._loop.time())

    @contextlib.asynccontextmanager
    async def tried(self, fingerprint):
        """Give how long a request must wait, in seconds; 0 if not.

        One that has ended replicas is tried once at a time at all entries.
        """
        if self._quarantine.needs_trial(fingerprint, self._loop.time()):
            async with self._trials.tried(fingerprint) as wait_s:
                yield wait_s
        else:
            yield self.wait_s(fingerprint)

    def is_item_held_back(self, fingerprint):
        """Return whether an item is held back, once its ends prove it.

        There are many engines, and five seconds cost an item its step.
        """
        wait_s = self._quarantine.wait_s(
            fingerprint, self._loop.time(), quarantines.PROVEN_ENDS
        )
        return wait_s > 0

    def is_suspect(self, fingerprint):
        """Return whether a replica has ended under a request."""
        return self._quarantine.ends(fingerprint) > 0

    def answered(self, fingerprint):
        """Note that a replica answered a request whole."""
        self._quarantine.answered(fingerprint)

    async def cut(self, fingerprint, replica):
        """Note that `replica` cut an answer; find out whether it ended.

        What may follow is known once this returns, within `LOOK_S`, but
        for a replica that refuses connections only later.
        """
        replica_id = replica.replica_id
        now = self._loop.time()
        if self._quarantine.cut(fingerprint, replica_id, now):
            self._counted(replica_id, {fingerprint})
        elif not self._directory.lives(replica_id):
            self._ended(replica_id)
        else:
            look = asyncio.create_task(self._look(replica))
            self._looks.add(look)
            look.add_done_callback(self._looks.discard)
            await asyncio.wait({look}, timeout=LOOK_S)

    async def _look(self, replica):
        """Find out whether a replica has ended."""
        if await _refuses(replica.address):
            self._ended(replica.replica_id)

    def load(self, entries_by_key):
        """Take in all ends that were told."""
        for key, entry in entries_by_key.items():
            self._learn(key, entry.value)

    def change(self, change):
        """Take in the ends that one entry tells.

        One that is removed has lapsed, or its lease was lost with a VM:
        what was learned holds for its own time.
        """
        if change.value is not None:
            self._learn(change.key, change.value)

    def _learn(self, key, value):
        try:
            end = _END.validate_python(cbor2.loads(value))
        except (cbor2.CBORError, ValueError) as error:
            counters.count_unreadable("crash")
            _LOG.log("crash-unreadable", key=key, cause=repr(error))
            return
        self._take(end)

    async def answer(self, request, responder):
        """Answer what another entry tells or asks directly."""
        if request.path == trials.TARGET:
            wait_s = self._trials.decide(trials.read(request.body))
            await responder.send(200, (), cbor2.dumps(wait_s))
            return
        if request.path == catching_up.TARGET:
            known = self._quarantine.known(self._loop.time())
            most = known[: catching_up.MOST_KNOWN]
            await responder.send(200, (), cbor2.dumps(most))
            return
        for end in ends_of_replicas.read(request.body):
            self._take(end)
        await responder.send(200)

    def _catch(self, known):
        """Take in what another entry knew before this one started."""
        self._quarantine.learn(
            known.fingerprint,
            known.replica_ids,
            self._loop.time() - known.age_s,
        )

    def _take(self, end):
        now = self._loop.time()
        for fingerprint in end.fingerprints:
            self._quarantine.learn(fingerprint, [end.replica_id], now)

    def _replicas_changed(self, changed):
        if not changed.is_membership:
            return
        watched = self._quarantine.watched
        for replica_id in watched.intersection(changed.replica_ids):
            if not self._directory.lives(replica_id):
                self._ended(replica_id)

    def _ended(self, replica_id):
        found = self._quarantine.ended(replica_id, self._loop.time())
        self._counted(replica_id, found)

    def _counted(self, replica_id, fingerprints):
        """Log and tell that a replica ended under requests."""
        if not fingerprints:
            return
        ends = {one: self._quarantine.ends(one) for one in fingerprints}
        _LOG.log(
            "replica-ended",
            replica=replica_id,
            requests=len(ends),
            ends_by_suspect={
                one: count for one, count in ends.items() if count > 1
            },
        )
        self._direct.tell(
            ends_of_replicas.End(replica_id, tuple(sorted(fingerprints)))
        )
        self._untold_by_replica.setdefault(replica_id, set()).update(
            fingerprints
        )
        if self._teller is None or self._teller.done():
            self._teller = asyncio.create_task(self._tell())

    async def _tell(self):
        """Write what other entries are to know until it is all written."""
        while self._untold_by_replica:
            await asyncio.sleep(GATHER_S)
            replica_ids = list(self._untold_by_replica)[:MOST_KEYS]
            try:
                await self._write(replica_ids)
            except exceptions.AnvilwellError as error:
                _LOG.log("ends-not-told", cause=error.message)
                await asyncio.sleep(RETRY_S)

    async def _write(self, replica_ids):
        """Write what is untold of replicas, each under a key of our own.

        A write that landed without an answer is found by the next one.
        """
        told_by_replica = {
            replica_id: self._told_by_replica.get(replica_id, frozenset())
            | self._untold_by_replica[replica_id]
            for replica_id in replica_ids
        }
        lease = await self._take_lease()
        swaps = []
        for replica_id, fingerprints in told_by_replica.items():
            key = own_key(replica_id, self._vm_id)
            value = cbor2.dumps((replica_id, tuple(sorted(fingerprints))))
            revision = self._revisions_by_key.get(key, 0)
            swaps.append(keyvalue.Swap(key, revision, value, lease))
        try:
            result = await self._store.swap(swaps)
        except exceptions.NotFound:
            self._lease_until = float("-inf")
            raise
        self._revisions_by_key |= {
            swap.key: _revision(result, swap.key) for swap in swaps
        }
        if not result.landed:
            raise exceptions.Conflict("an end was told before")
        self._told(told_by_replica)

    def _told(self, told_by_replica):
        self._told_by_replica |= told_by_replica
        for replica_id, told in told_by_replica.items():
            if told.issuperset(self._untold_by_replica[replica_id]):
                del self._untold_by_replica[replica_id]

    async def _take_lease(self):
        """Return a lease that lasts; nobody renews it."""
        now = self._loop.time()
        if now > self._lease_until:
            self._lease = await self._store.grant(quarantines.LONG_PAUSE_S)
            # A key that is written once more after this is read first.
            self._told_by_replica = {}
            self._revisions_by_key = {}
            self._lease_until = now + quarantines.LONG_PAUSE_S / 2
        return self._lease


def own_key(replica_id, vm_id):
    """Return the key under which a VM tells of a replica's end.

    Keys are short, ids need not be.
    """
    name = cbor2.dumps((replica_id, vm_id))
    return PREFIX + hashlib.blake2b(name, digest_size=16).hexdigest()


def _revision(result, key):
    """Return the revision of a key after a `keyvalue.SwapResult`."""
    if result.landed:
        return result.revision
    entry = result.entries_by_key.get(key)
    return entry.revision if entry else 0


async def _refuses(address):
    """Return whether nothing listens at a replica's address any more."""
    try:
        connection = await client.Connection.open(address, LONGEST_LOOK_S)
    except exceptions.BackendFailed as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
