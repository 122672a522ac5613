"""Bytes of samples in this daemon's memory, bounded."""

import threading

import xxhash

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

LIMIT_BYTES = 128 << 20


def digest_of(body):
    """Return the digest that names the bytes `body`."""
    return xxhash.xxh3_128_hexdigest(body)


class BytesStore:
    """Keeps sample bodies by sample and digest.

    A body is never dropped to make room, since a recorded choice may
    count on it: when the store is full, new ones are refused.

    Parameters
    ----------
    limit_bytes : int
        Bytes kept at most.
    """

    def __init__(self, limit_bytes=LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._bodies_by_key = {}
        self._bytes = 0

    @property
    def size_bytes(self):
        """Bytes kept now."""
        return self._bytes

    def keep(self, sample, digest, body):
        """Keep `body`.

        Raises
        ------
        exceptions.BadRequest
            If `body` does not fit `digest`.
        exceptions.Refused
            If the store is full.
        """
        if digest_of(body) != digest:
            raise exceptions.BadRequest(
                f"the bytes of sample {sample} do not fit their digest"
            )
        with self._lock:
            if (sample, digest) in self._bodies_by_key:
                return
            if self._bytes + len(body) > self._limit_bytes:
                raise exceptions.Refused(
                    f"{self._bytes} bytes of samples are kept, the limit "
                    f"is {self._limit_bytes}",
                    reason=reasons.Refusal.QUEUE_FULL,
                    retry_after=1.0,
                )
            self._bodies_by_key[sample, digest] = body
            self._bytes += len(body)

    def find(self, sample, digest):
        """Return the bytes, or None."""
        return self._bodies_by_key.get((sample, digest))

    def discard(self, sample, digest):
        """Forget the bytes; no error if they are not there."""
        with self._lock:
            body = self._bodies_by_key.pop((sample, digest), b"")
            self._bytes -= len(body)
