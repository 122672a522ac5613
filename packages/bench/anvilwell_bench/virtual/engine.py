"""A fake model engine: service times of continuous batching."""

import collections
import heapq
import typing


class EngineModel(typing.NamedTuple):
    """Service times of an engine.

    One step makes one token for each running stream and takes
    ``base_step_s + batch * per_stream_step_s``. A prompt token that is
    not cached costs ``prefill_share`` of a generated token.
    """

    base_step_s: float = 0.02
    per_stream_step_s: float = 0.0005
    max_batch: int = 64
    prefill_share: float = 0.02
    cached_prefixes: int = 64


class Work(typing.NamedTuple):
    """One stream: ``on_end(work_id, tokens, whole)`` tells its end."""

    work_id: str
    tokens: int
    on_end: typing.Callable
    prefix: str = ""
    prefix_tokens: int = 0


class FakeEngine:
    """Shares its steps evenly between running streams, FIFO beyond.

    It knows no priorities. ``hits`` and ``misses`` count prefixes.
    """

    def __init__(self, driver, engine_id, model=None):
        self.engine_id = engine_id
        self.version = "1"
        self.hits = 0
        self.misses = 0
        self.generated = 0
        self._driver = driver
        self._model = model or EngineModel()
        self._running_by_id = {}
        self._waiting_by_id = {}
        self._cache = collections.OrderedDict()
        self._heap = []
        self._made = 0.0
        self._made_at = 0.0
        self._stamp = 0
        self._is_paused = False

    @property
    def running(self):
        """Number of streams in the batch."""
        return len(self._running_by_id)

    @property
    def waiting(self):
        """Number of streams that wait for the batch."""
        return len(self._waiting_by_id)

    def start(self, work):
        """Take `work` into the batch or the engine's own queue."""
        self._advance()
        self._waiting_by_id[work.work_id] = work
        self._fill()

    def cancel(self, work_id):
        """Give up a stream; return tokens made, or None if unknown."""
        self._advance()
        if self._waiting_by_id.pop(work_id, None):
            return 0
        made = self.progress(work_id)
        self._running_by_id.pop(work_id, None)
        self._fill()
        return made

    def progress(self, work_id):
        """Return whole tokens made for a running stream, or None."""
        self._advance()
        entry = self._running_by_id.get(work_id)
        if entry is None:
            return None
        work, finish = entry
        left = finish - self._made
        return max(0, min(work.tokens, int(work.tokens - left)))

    def pause(self, duration_s):
        """Make no tokens for a while, as in a weight swap."""
        self._advance()
        self._is_paused = True
        self._stamp += 1
        self._driver.after(duration_s, self._resume)

    def crash(self):
        """Lose every stream and the cache; each stream's end is told."""
        self._advance()
        lost = [work for work, _ in self._running_by_id.values()]
        ends = [(work, self.progress(work.work_id)) for work in lost]
        ends += [(work, 0) for work in self._waiting_by_id.values()]
        self._running_by_id.clear()
        self._waiting_by_id.clear()
        self._heap.clear()
        self._cache.clear()
        self._stamp += 1
        for work, tokens in ends:
            work.on_end(work.work_id, tokens, False)

    def _resume(self):
        self._advance()
        self._is_paused = False
        self._fill()

    def _step_s(self):
        model = self._model
        return model.base_step_s + self.running * model.per_stream_step_s

    def _advance(self):
        now = self._driver.now
        if not self._is_paused:
            self._made += (now - self._made_at) / self._step_s()
        self._made_at = now

    def _fill(self):
        while self._waiting_by_id and self.running < self._model.max_batch:
            work_id = next(iter(self._waiting_by_id))
            work = self._waiting_by_id.pop(work_id)
            finish = self._made + work.tokens + self._prefill(work)
            self._running_by_id[work_id] = (work, finish)
            heapq.heappush(self._heap, (finish, work_id))
        self._schedule()

    def _prefill(self, work):
        if not work.prefix:
            return 0.0
        if work.prefix in self._cache:
            self.hits += 1
            self._cache.move_to_end(work.prefix)
            return 0.0
        self.misses += 1
        self._cache[work.prefix] = True
        if len(self._cache) > self._model.cached_prefixes:
            self._cache.popitem(last=False)
        return work.prefix_tokens * self._model.prefill_share

    def _schedule(self):
        self._stamp += 1
        while self._heap and self._heap[0][1] not in self._running_by_id:
            heapq.heappop(self._heap)
        if not self._heap or self._is_paused:
            return
        left = max(0.0, self._heap[0][0] - self._made)
        self._driver.after(left * self._step_s(), self._finish, self._stamp)

    def _finish(self, stamp):
        if stamp != self._stamp:
            return
        self._advance()
        _, work_id = heapq.heappop(self._heap)
        work, _ = self._running_by_id.pop(work_id)
        self.generated += work.tokens
        self._fill()
        work.on_end(work_id, work.tokens, True)
