"""Writes large submissions to the store in parts, before their owner.

One transaction with all parts would hold a large submission in memory several
times. Each part is therefore written by itself, and the owner's key, which
alone makes the batch exist, follows in a transaction of its own.

A key marks each upload. One whose process ended has no batch; it is found by
that key and deleted later.
"""

import asyncio
import contextlib
import io
import typing
import uuid

import cbor2

from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue

UPLOAD_PREFIX = "anvilwell/upload/"
PART_PREFIX = "anvilwell/record/"
# Largest part of a batch's data that is written as one value, in bytes. The
# store accepts values of up to 1 MB; the difference leaves space for the
# encoding.
MAX_VALUE_BYTES = 700 << 10
# Largest number of keys that are deleted with one call.
MAX_KEYS = 30
# Each so many bytes of a submission may take the store one second more.
BYTES_PER_S = 16e6

_BYTE_STRING = 2


class StoredSubmission(typing.NamedTuple):
    """A submission as received, so that any VM decodes it the same way.

    Its headers contain no API key, so reading the store discloses none.
    """

    target: str
    headers: tuple
    body: bytes
    organisation: str = ""


class Upload(typing.NamedTuple):
    """Parts in the store, written before the batch that they belong to.

    ``revision`` is that of the key that marks the upload.
    """

    batch_id: str
    upload_id: str
    part_count: int
    revision: int

    @property
    def key(self):
        """The key that marks the upload."""
        return f"{UPLOAD_PREFIX}{self.batch_id}/{self.upload_id}"


class EncodedSubmission:
    """The CBOR of a `StoredSubmission`, of which one part is made at a time.

    Parameters
    ----------
    submission : StoredSubmission
        The submission; its body is not copied.
    """

    def __init__(self, submission):
        head = io.BytesIO()
        encoder = cbor2.CBOREncoder(head)
        encoder.encode_length(4, len(submission))
        encoder.encode(submission.target)
        encoder.encode(submission.headers)
        encoder.encode_length(_BYTE_STRING, len(submission.body))
        self._pieces = (
            head.getvalue(),
            submission.body,
            cbor2.dumps(submission.organisation),
        )
        self.byte_count = sum(map(len, self._pieces))

    @property
    def part_count(self):
        """How many parts there are."""
        return -(-self.byte_count // MAX_VALUE_BYTES)

    def part(self, number):
        """Return part `number`, counted from 0."""
        start = number * MAX_VALUE_BYTES
        found = []
        for piece in self._pieces:
            end = start + MAX_VALUE_BYTES
            found.append(memoryview(piece)[max(0, start) : max(0, end)])
            start -= len(piece)
        return b"".join(found)


def part_key(batch_id, number, upload_id=""):
    """Return the key of a part; without `upload_id` of one not uploaded."""
    name = f"{batch_id}/{upload_id}" if upload_id else batch_id
    return f"{PART_PREFIX}{name}/{number:04}"


def extra_s(byte_count):
    """Return how much longer `byte_count` may take to write, in seconds."""
    return byte_count / BYTES_PER_S


@contextlib.contextmanager
def reserved(budget, part_count):
    """Reserve the memory to read a submission of `part_count` parts.

    Raises
    ------
    exceptions.Refused
        If it doesn't fit beside what is held already.
    """
    byte_count = byte_budget.COPIES * part_count * MAX_VALUE_BYTES
    if not budget.try_hold(byte_count, byte_budget.BATCH_SHARE):
        raise exceptions.Refused(
            "the submission doesn't fit into the memory that is left",
            reason=reasons.Refusal.NO_MEMORY,
        )
    try:
        yield
    finally:
        budget.release(byte_count)


async def write(store, batch_id, encoded, guard, timeout_s):
    """Write all parts of an `EncodedSubmission`; return their `Upload`.

    Parameters
    ----------
    guard : keyvalue.Guard
        The condition that the batch does not exist yet.

    Returns
    -------
    Upload or None
        None, and nothing is written, if the batch exists.

    Raises
    ------
    exceptions.KeyValueUnavailable
        If it takes longer than `timeout_s`. Its verdict is ``NOT_RUN``, as
        parts alone make no batch.
    """
    upload = Upload(batch_id, uuid.uuid4().hex, encoded.part_count, 0)
    try:
        async with asyncio.timeout(timeout_s):
            mark = cbor2.dumps(upload.part_count)
            marked = await _write_new(
                store, upload.key, mark, timeout_s, guard
            )
            if marked is None:
                return None
            for number in range(upload.part_count):
                key = part_key(batch_id, number, upload.upload_id)
                await _write_new(store, key, encoded.part(number), timeout_s)
    except (TimeoutError, exceptions.KeyValueUnavailable) as error:
        raise exceptions.KeyValueUnavailable(
            f"batch {batch_id} is not stored: {error}",
            verdict=verdicts.Verdict.NOT_RUN,
        ) from error
    return upload._replace(revision=marked.revision)


async def _write_new(store, key, value, timeout_s, *guards):
    """Write a key that no other process writes; return its `Entry`.

    Returns None if the condition of a guard does not hold.
    """
    result = await stores.swap_until_known(
        store, [keyvalue.Swap(key, 0, value), *guards], timeout_s
    )
    if result.landed:
        return keyvalue.Entry(key, value, result.revision)
    return result.entries_by_key.get(key)


def adopted_key(batch_id):
    """Return the key that holds the id of the upload that a batch has."""
    return f"{PART_PREFIX}{batch_id}/upload"


def adoption(upload):
    """Return the swaps by which a batch gets `upload`, unless it is gone."""
    key = adopted_key(upload.batch_id)
    return [
        keyvalue.Swap(key, 0, upload.upload_id.encode()),
        keyvalue.Guard(upload.key, upload.revision),
    ]


async def marked(store):
    """Return the `Upload`s that are marked in the store, possibly outdated."""
    snapshot = await store.get_prefix(UPLOAD_PREFIX, may_be_stale=True)
    return [
        Upload(
            *key.removeprefix(UPLOAD_PREFIX).rsplit("/", 1),
            cbor2.loads(entry.value),
            entry.revision,
        )
        for key, entry in snapshot.entries_by_key.items()
    ]


async def abandon(store, upload, timeout_s):
    """Delete an upload, or only its mark if a batch has it.

    If its process still writes it, the owner's key will not be written.
    """
    key = adopted_key(upload.batch_id)
    adopted = await store.get(key)
    result = await stores.swap_until_known(
        store,
        [
            keyvalue.Swap(upload.key, upload.revision, None),
            keyvalue.Guard(key, adopted.revision if adopted else 0),
        ],
        timeout_s,
    )
    is_adopted = adopted and adopted.value == upload.upload_id.encode()
    if result.landed and not is_adopted:
        keys = part_keys(upload.batch_id, upload.part_count, upload.upload_id)
        await remove_keys(store, keys)


def part_keys(batch_id, part_count, upload_id=""):
    """Return the keys of all parts of a submission."""
    return [
        part_key(batch_id, number, upload_id) for number in range(part_count)
    ]


async def remove_keys(store, keys):
    """Delete `keys`, in order, with as few calls as the store allows."""
    for start in range(0, len(keys), MAX_KEYS):
        await store.remove(keys[start : start + MAX_KEYS])
