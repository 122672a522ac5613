"""Continuous batching: bounded slots, first come first served."""

import collections
import queue
import threading
import time
import typing

from anvilwell_standins.engine import text

MIN_TICK_S = 0.0005


class Sample(typing.NamedTuple):
    """What one request asks for; `first` is the first token wanted."""

    request_id: str
    prompt: str
    seed: int
    index: int
    first: int
    length: int
    finish_reason: str


class Piece(typing.NamedTuple):
    """Tokens of one sample, made by one weight version."""

    text: str
    count: int
    version: str


class End(typing.NamedTuple):
    """The end of a sample: its finish reason, or "" when cut."""

    reason: str


class Progress(typing.NamedTuple):
    """How far a sample is, and which versions made how many tokens."""

    sample: Sample
    position: int
    versions: list[tuple[str, int]]


class Run:
    """One sample on its way through the engine."""

    def __init__(self, sample, prefill_s):
        self.sample = sample
        self.prefill_s = prefill_s
        self.ready_at = None
        self.position = sample.first
        self.events = queue.SimpleQueue()
        self.versions = []
        self.ended = False

    def end(self, reason):
        """Tell the reader that nothing follows."""
        if not self.ended:
            self.ended = True
            self.events.put(End(reason))

    def advance(self, count, version):
        """Generate up to `count` tokens; return how many it made."""
        sample = self.sample
        count = min(count, sample.length - self.position)
        made = "".join(
            text.token(sample.prompt, sample.seed, sample.index, n)
            for n in range(self.position, self.position + count)
        )
        self.position += count
        self._tag(count, version)
        self.events.put(Piece(made, count, version))
        if self.position >= sample.length:
            self.end(sample.finish_reason)
        return count

    def _tag(self, count, version):
        if self.versions and self.versions[-1][0] == version:
            self.versions[-1][1] += count
        else:
            self.versions.append([version, count])


class Batch:
    """Steps all running samples together, one tick a token.

    Parameters
    ----------
    slots : int
        Samples that run at a time.
    token_s : float
        Seconds a tick.
    tokens_per_tick : int
        Tokens that each sample gains in a tick.
    version : callable
        Gives the active weight version, None while it is swapped.
    """

    def __init__(self, slots, token_s, tokens_per_tick, version):
        self._slots = slots
        self._token_s = max(token_s, MIN_TICK_S)
        self._tokens_per_tick = tokens_per_tick
        self._version = version
        self._changed = threading.Condition()
        self._waiting = collections.deque()
        self._running_by_id = {}
        self._stuck_until = 0.0
        self._slow_until = 0.0
        self._slow_factor = 1.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Begin to tick."""
        self._thread.start()

    def stop(self):
        """Cut everything and stop."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()
        self._thread.join()
        self.cut_all()

    def submit(self, run):
        """Queue `run`; return False if its id is already here."""
        with self._changed:
            if self._find(run.sample.request_id):
                return False
            self._waiting.append(run)
            self._changed.notify_all()
            return True

    def progress(self, request_id):
        """Return the `Progress` of that id, or None."""
        with self._changed:
            run = self._find(request_id)
            if run is None:
                return None
            versions = [(version, count) for version, count in run.versions]
            return Progress(run.sample, run.position, versions)

    def cancel(self, request_id):
        """End the run of that id; return whether it was here."""
        with self._changed:
            run = self._find(request_id)
            if run is None:
                return False
            self._remove(run)
            run.end("cancelled")
            return True

    def cut_all(self):
        """End every run without a finish reason, as in a crash."""
        with self._changed:
            runs = [*self._running_by_id.values(), *self._waiting]
            self._running_by_id.clear()
            self._waiting.clear()
        for run in runs:
            run.end("")

    def counts(self):
        """Return how many samples run and how many wait."""
        with self._changed:
            return len(self._running_by_id), len(self._waiting)

    def hold(self, seconds):
        """Make no token for `seconds`."""
        self._stuck_until = time.monotonic() + seconds

    def slow_down(self, factor, seconds):
        """Tick `factor` times as slowly for `seconds`."""
        self._slow_factor = factor
        self._slow_until = time.monotonic() + seconds

    def _find(self, request_id):
        running = self._running_by_id.get(request_id)
        waiting = (
            run for run in self._waiting if run.sample.request_id == request_id
        )
        return running or next(waiting, None)

    def _remove(self, run):
        self._running_by_id.pop(run.sample.request_id, None)
        if run in self._waiting:
            self._waiting.remove(run)

    def _loop(self):
        due = time.monotonic()
        while not self._stopped.is_set():
            with self._changed:
                while self._is_idle() and not self._stopped.is_set():
                    self._changed.wait()
                    due = time.monotonic()
                self._tick(time.monotonic())
            due += self._tick_s()
            self._stopped.wait(max(0.0, due - time.monotonic()))

    def _is_idle(self):
        return not self._waiting and not self._running_by_id

    def _tick_s(self):
        slow = time.monotonic() < self._slow_until
        return self._token_s * (self._slow_factor if slow else 1.0)

    def _tick(self, now):
        self._admit(now)
        version = self._version()
        if version is None or now < self._stuck_until:
            return
        for run in list(self._running_by_id.values()):
            if now < run.ready_at:
                continue
            run.advance(self._tokens_per_tick, version)
            if run.ended:
                del self._running_by_id[run.sample.request_id]

    def _admit(self, now):
        while self._waiting and len(self._running_by_id) < self._slots:
            run = self._waiting.popleft()
            run.ready_at = now + run.prefill_s
            self._running_by_id[run.sample.request_id] = run
