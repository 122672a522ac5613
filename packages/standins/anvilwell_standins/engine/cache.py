"""Prefix cache with late, gapped events, and exported KV caches."""

import collections
import itertools
import random
import threading
import time
import typing

import xxhash

BLOCK_CHARS = 64
MAX_EVENTS = 10_000
MAX_EXPORTS = 1_000


class CacheEvent(typing.NamedTuple):
    """A block that was stored or evicted."""

    number: int
    kind: str
    block: str


class PrefixCache:
    """Least-recently-used blocks of prompt prefixes.

    Parameters
    ----------
    blocks : int
        Blocks that fit.
    lag_s : float
        Age in seconds at which an event is published.
    gap : float
        Share of events that are never published.
    seed : int
        Seed of the gaps.
    """

    def __init__(self, blocks, *, lag_s=0.0, gap=0.0, seed=0):
        self._capacity = blocks
        self._lag_s = lag_s
        self._gap = gap
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._number = 0

    def use(self, prompt):
        """Store the prompt's blocks; return how many were missing."""
        with self._lock:
            return sum(self._touch(block) for block in _blocks(prompt))

    def share(self):
        """Return the share of the capacity in use."""
        return len(self._blocks) / self._capacity

    def clear(self):
        """Lose every block, as after a crash; no event tells it."""
        with self._lock:
            self._blocks.clear()

    def events(self, since):
        """Return the published events with numbers above `since`."""
        until = time.monotonic() - self._lag_s
        with self._lock:
            return [
                event
                for at, event in self._events
                if event.number > since and at <= until
            ]

    def _touch(self, block):
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return False
        self._blocks[block] = True
        self._publish("stored", block)
        if len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._publish("evicted", oldest)
        return True

    def _publish(self, kind, block):
        self._number += 1
        if self._random.random() >= self._gap:
            event = CacheEvent(self._number, kind, block)
            self._events.append((time.monotonic(), event))


def _blocks(prompt):
    ends = itertools.count(BLOCK_CHARS, BLOCK_CHARS)
    whole = itertools.takewhile(lambda end: end <= len(prompt), ends)
    return [xxhash.xxh64_hexdigest(prompt[:end].encode()) for end in whole]


class Exported(typing.NamedTuple):
    """The KV cache of one sample up to `tokens`."""

    prompt: str
    seed: int
    index: int
    tokens: int
    versions: list[tuple[str, int]]


class Imports:
    """Imported KV caches by request id; the oldest go first."""

    def __init__(self):
        self._caches_by_id = collections.OrderedDict()
        self._lock = threading.Lock()

    def put(self, request_id, exported):
        """Keep `exported` for `request_id`."""
        with self._lock:
            self._caches_by_id[request_id] = exported
            if len(self._caches_by_id) > MAX_EXPORTS:
                self._caches_by_id.popitem(last=False)

    def get(self, request_id):
        """Return the cache of `request_id`, or None."""
        with self._lock:
            return self._caches_by_id.get(request_id)

    def clear(self):
        """Lose everything, as after a crash."""
        with self._lock:
            self._caches_by_id.clear()
