"""Reads and writes the records of batches in the key-value service."""

import itertools
import typing

import cbor2
import pydantic
import xxhash

from anvilwell_decisions.batches import progress
from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import organisations
from anvilwell_gateway.batches import uploads
from anvilwell_gateway import cluster_state
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue

OWNER_PREFIX = "anvilwell/owner/"
RESULTS_PREFIX = "anvilwell/results/"
SAVED_PREFIX = "anvilwell/saved/"
CARRIED_PREFIX = "anvilwell/carried/"
# How long a write whose response was lost is repeated, in seconds.
COMMIT_TIMEOUT_S = 20.0


class Owner(typing.NamedTuple):
    """The process that runs a batch, and facts about the batch.

    ``incarnation`` identifies one run of the owner's process; it is ""
    once that process has released the batch. ``total`` is the number of
    items, ``submitted_at`` is in seconds of wall time, and ``parts`` is the
    number of values that the submission is split into. ``digest``
    distinguishes a repeated submission from a different one with the same
    id. ``service`` and ``model`` determine the home of the batch.

    ``location`` is the host and the path that it was submitted to, from which
    an entry finds the allowed regions of the batch before it reads the
    submission. It is "", and not stored, if no list of allowed regions was in
    force.
    """

    vm_id: str
    incarnation: str
    total: int
    digest: str
    submitted_at: float
    parts: int
    service: str = ""
    model: str = ""
    location: str = ""


_OWNER = pydantic.TypeAdapter(Owner)
_SUBMISSION = pydantic.TypeAdapter(uploads.StoredSubmission)
_RESULTS = pydantic.TypeAdapter(tuple[facts.Result, ...])
_SAVED = pydantic.TypeAdapter(tuple[progress.SavedProgress, ...])


# The last fields of a `progress.SavedProgress`.
_FAILURE_FIELDS = ("failures", "scoring_failures", "is_abandoned")


def _dump(value):
    return cbor2.dumps(value)


def _dump_owner(owner):
    return _dump(owner if owner.location else owner[:-1])


def _load(adapter, value):
    return adapter.validate_python(cbor2.loads(value))


class Claim(typing.NamedTuple):
    """A batch's owner as stored, and the revision of that value.

    Each write of results is conditional on the revision.
    """

    owner: Owner
    revision: int


class UnreadableOwner(exceptions.AnvilwellError):
    """Raised if a stored value cannot be decoded as an owner."""


class OwnedElsewhere(exceptions.AnvilwellError):
    """Raised if another process owns the batch now."""


class BatchStore:
    """Reads and writes batches in the store.

    Parameters
    ----------
    store : store.AsyncStore
        The key-value service.
    """

    def __init__(self, store):
        self._store = store

    async def owner(self, batch_id):
        """Return the `Claim` of a batch, or None if there is none."""
        entry = await self._store.get(f"{OWNER_PREFIX}{batch_id}")
        return entry and _claim_in(entry)

    async def owners(self):
        """Return the `Claim` of every batch, by batch id."""
        snapshot = await self._store.get_prefix(OWNER_PREFIX)
        return {
            key.removeprefix(OWNER_PREFIX): _claim_in(entry)
            for key, entry in snapshot.entries_by_key.items()
        }

    async def accept(
        self, batch_id, owner, stored_submission, timeout_s, refusal_timeout_s
    ):
        """Write a new batch; return its stored `Claim`.

        If the id was accepted before, that is the claim of the earlier
        submission. The timeouts are those of `stores.swap_until_known`. A
        submission of several parts is uploaded first, for which it has the
        second timeout and more, depending on its size.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the outcome is unknown; with ``NOT_RUN`` only if the write
            can no longer take effect.
        """
        encoded = uploads.EncodedSubmission(stored_submission)
        owner = owner._replace(parts=encoded.part_count)
        key = f"{OWNER_PREFIX}{batch_id}"
        swaps = [keyvalue.Swap(key, 0, _dump_owner(owner))]
        if encoded.part_count == 1:
            part_key = uploads.part_key(batch_id, 0)
            swaps.append(keyvalue.Swap(part_key, 0, encoded.part(0)))
        else:
            upload = await uploads.write(
                self._store,
                batch_id,
                encoded,
                keyvalue.Guard(key, 0),
                refusal_timeout_s + uploads.extra_s(encoded.byte_count),
            )
            if upload is None:
                return await self.owner(batch_id)
            swaps += uploads.adoption(upload)
        result = await stores.swap_until_known(
            self._store, swaps, timeout_s, refusal_timeout_s
        )
        if result.landed:
            return Claim(owner, result.revision)
        entry = result.entries_by_key.get(key)
        if entry is None:
            raise exceptions.KeyValueUnavailable(
                f"the upload of batch {batch_id} was abandoned",
                verdict=verdicts.Verdict.NOT_RUN,
            )
        return _claim_in(entry)

    async def take_over(self, batch_id, claim, owner):
        """Replace a batch's dead owner by `owner`; return the new `Claim`.

        Raises
        ------
        OwnedElsewhere
            If another process replaced the owner first.
        """
        key = f"{OWNER_PREFIX}{batch_id}"
        swap = keyvalue.Swap(key, claim.revision, _dump_owner(owner))
        result = await stores.swap_until_known(
            self._store, [swap], COMMIT_TIMEOUT_S
        )
        if result.landed:
            return Claim(owner, result.revision)
        entry = result.entries_by_key.get(key)
        if entry is not None and _claim_in(entry).owner == owner:
            return Claim(owner, entry.revision)
        raise OwnedElsewhere(f"batch {batch_id} is owned by another process")

    async def release(self, batch_id, claim):
        """Give up the claim on a batch, so that it is taken over.

        Raises
        ------
        OwnedElsewhere
            If another process replaced the owner first.
        """
        released = claim.owner._replace(incarnation="")
        await self.take_over(batch_id, claim, released)

    async def submission(self, batch_id, parts):
        """Return the ``uploads.StoredSubmission`` of a batch."""
        encoded = bytearray()
        for key in await self._part_keys(batch_id, parts):
            entry = await self._store.get(key)
            if entry is None:
                raise exceptions.NotFound(
                    f"batch {batch_id} has no stored submission"
                )
            encoded += entry.value
        return _load(_SUBMISSION, encoded)

    async def _part_keys(self, batch_id, parts):
        """Return the keys of the parts of a batch's submission."""
        entry = None
        if parts > 1:
            entry = await self._store.get(uploads.adopted_key(batch_id))
        # Earlier releases wrote all parts together with the owner.
        upload_id = entry.value.decode() if entry else ""
        return uploads.part_keys(batch_id, parts, upload_id)

    async def results(self, batch_id, chunk=0):
        """Return the results from chunk number `chunk` on.

        Returns
        -------
        list of facts.Result
            In the order of their positions.
        int
            Number of the first chunk that does not exist yet.
        """
        prefix = f"{RESULTS_PREFIX}{batch_id}/"
        after = _chunk_key(batch_id, chunk - 1) if chunk else ""
        snapshot = await self._store.get_prefix(prefix, after)
        entries = sorted(snapshot.entries_by_key.items())
        chunks = [_load(_RESULTS, entry.value) for _, entry in entries]
        return list(itertools.chain.from_iterable(chunks)), chunk + len(chunks)

    async def append(self, batch_id, claim, chunk, results):
        """Write `results` as chunk number `chunk` if the claim still holds.

        Raises
        ------
        OwnedElsewhere
            If another process owns the batch; nothing was written.
        """
        owner_key = f"{OWNER_PREFIX}{batch_id}"
        key = _chunk_key(batch_id, chunk)
        value = _dump(tuple(results))
        written = await stores.swap_until_known(
            self._store,
            [
                keyvalue.Swap(key, 0, value),
                keyvalue.Guard(owner_key, claim.revision),
            ],
            COMMIT_TIMEOUT_S,
        )
        if written.landed:
            return
        entry = written.entries_by_key.get(key)
        if entry is None or entry.value != value:
            raise OwnedElsewhere(
                f"batch {batch_id} is owned by another process"
            )

    async def save(self, batch_id, claim, saved):
        """Save texts and failures of unlisted items for the next owner.

        Nothing is written if the claim no longer holds: the next owner may
        have counted more failures by then.
        """
        guard = keyvalue.Guard(f"{OWNER_PREFIX}{batch_id}", claim.revision)
        value = _dump_saved(saved)
        await self._store.put(f"{SAVED_PREFIX}{batch_id}", value, guard)

    async def saved(self, batch_id):
        """Return what an earlier owner saved, as `progress.SavedProgress`."""
        entry = await self._store.get(f"{SAVED_PREFIX}{batch_id}")
        return _load(_SAVED, entry.value) if entry else ()

    async def carry(self, route, organisation, saved):
        """Save an ended batch's unfinished texts for the next batch.

        That is the next batch on the route by the same organisation. Texts
        are kept apart by organisation because items of two organisations
        may have the same ids.
        """
        key = _carried_key(route, organisation)
        await self._store.put(key, _dump_saved(saved))

    async def carried(self, route, organisation):
        """Return the unfinished texts of an organisation's last batch."""
        entry = await self._store.get(_carried_key(route, organisation))
        return _load(_SAVED, entry.value) if entry else ()

    async def end(self, batch_id, timeout_s):
        """Record for all processes that the trainer ended the batch."""
        key = f"{cluster_state.ENDED_PREFIX}{batch_id}"
        swap = keyvalue.Swap(key, 0, b"1")
        # An earlier call may have written the key, which has the same effect.
        await stores.swap_until_known(self._store, [swap], timeout_s)

    async def remove(self, batch_id, parts, chunks):
        """Delete all keys of a batch, the one that marks its end last."""
        keys = [
            f"{OWNER_PREFIX}{batch_id}",
            f"{SAVED_PREFIX}{batch_id}",
            *await self._part_keys(batch_id, parts),
            *([uploads.adopted_key(batch_id)] if parts > 1 else ()),
            *(_chunk_key(batch_id, number) for number in range(chunks)),
            f"{cluster_state.ENDED_PREFIX}{batch_id}",
        ]
        await uploads.remove_keys(self._store, keys)

    async def marked_uploads(self):
        """Return each `uploads.Upload` that is marked in the store."""
        return await uploads.marked(self._store)

    async def abandon_upload(self, upload):
        """Delete an `uploads.Upload`, or only its mark if a batch has it."""
        await uploads.abandon(self._store, upload, COMMIT_TIMEOUT_S)


def read_claim(value, revision):
    """Decode a stored owner; return it with its revision as a `Claim`.

    Raises
    ------
    UnreadableOwner
        If the value cannot be decoded.
    """
    try:
        return Claim(_load(_OWNER, value), revision)
    except (cbor2.CBORError, ValueError) as error:
        raise UnreadableOwner(f"unreadable owner: {error}") from error


def _claim_in(entry):
    return read_claim(entry.value, entry.revision)


def _carried_key(route, organisation):
    location = f"{route.host}{route.path_prefix}"
    location = organisations.owned_id(organisation, location)
    name = xxhash.xxh3_64_hexdigest(location.encode())
    return f"{CARRIED_PREFIX}{name}"


def _dump_saved(saved):
    # Without failures, earlier releases read it too.
    return _dump(
        tuple(
            one if one.has_failed else one[: -len(_FAILURE_FIELDS)]
            for one in _fit_saved(saved)
        )
    )


def _fit_saved(saved):
    """Return the failures and the longest texts that fit into one value."""
    found = []
    free_bytes = uploads.MAX_VALUE_BYTES
    for one in sorted(
        saved, key=lambda one: (not one.has_failed, -len(one.events))
    ):
        free_bytes -= sum(map(len, one.events)) + len(one.events) * 8 + 200
        if free_bytes < 0:
            break
        found.append(one)
    return tuple(found)


def _chunk_key(batch_id, number):
    return f"{RESULTS_PREFIX}{batch_id}/{number:06}"
