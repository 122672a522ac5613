"""Callers that stream completions, many at a time."""

import concurrent.futures
import itertools
import json
import threading
import time
import typing
import uuid

from hdrh import histogram
import urllib3

_DONE = b"[DONE]"
_TIMEOUT_S = 120.0
_US_PER_S = 1_000_000
_MAX_US = 600 * _US_PER_S
_DIGITS = 3


class Target(typing.NamedTuple):
    """Where to send completions: an entry, or an engine itself."""

    name: str
    url: str


class Shape(typing.NamedTuple):
    """The load: `requests` streams of `max_tokens`, some at a time."""

    concurrency: int
    requests: int
    max_tokens: int
    priority: str = "live"


class Result(typing.NamedTuple):
    """What the callers saw; latencies are histograms in microseconds."""

    duration_s: float
    whole: int
    failed: int
    tokens: int
    first_us: histogram.HdrHistogram
    total_us: histogram.HdrHistogram


class _Tally:
    """Adds up what all callers see."""

    def __init__(self):
        self._lock = threading.Lock()
        self.whole = 0
        self.failed = 0
        self.tokens = 0
        self.first_us = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
        self.total_us = histogram.HdrHistogram(1, _MAX_US, _DIGITS)

    def add(self, tokens, first_s, total_s):
        with self._lock:
            self.whole += 1
            self.tokens += tokens
            self.first_us.record_value(round(first_s * _US_PER_S))
            self.total_us.record_value(round(total_s * _US_PER_S))

    def fail(self):
        with self._lock:
            self.failed += 1


def run(target, model, shape):
    """Stream `shape` from `target` and return the `Result`."""
    tally = _Tally()
    numbers = itertools.count()
    http = urllib3.PoolManager(
        maxsize=shape.concurrency, retries=False, timeout=_TIMEOUT_S
    )
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(shape.concurrency) as pool:
        for _ in range(shape.requests):
            pool.submit(_stream, http, target, model, shape, numbers, tally)
    duration_s = time.monotonic() - begun
    return Result(
        duration_s,
        tally.whole,
        tally.failed,
        tally.tokens,
        tally.first_us,
        tally.total_us,
    )


def _stream(http, target, model, shape, numbers, tally):
    body = {
        "model": model,
        "prompt": f"{target.name} {next(numbers)}",
        "max_tokens": shape.max_tokens,
        "stream": True,
    }
    begun = time.monotonic()
    try:
        tokens, first_s = _read(http, target, body, shape, begun)
    except (urllib3.exceptions.HTTPError, ValueError):
        tally.fail()
        return
    if tokens == shape.max_tokens:
        tally.add(tokens, first_s, time.monotonic() - begun)
    else:
        tally.fail()


def _read(http, target, body, shape, begun):
    """Return the tokens of a whole stream and the time to the first."""
    response = http.request(
        "POST",
        f"{target.url}/v1/completions",
        body=json.dumps(body).encode(),
        headers={
            "X-Request-Id": uuid.uuid4().hex,
            "Anvilwell-Priority": shape.priority,
            "Anvilwell-Deadline-Ms": "100000",
        },
        preload_content=False,
    )
    tokens = 0
    first_s = 0.0
    is_whole = False
    for line in _lines(response):
        if line == _DONE:
            is_whole = True
        else:
            tokens += json.loads(line).get("tokens", 0)
            first_s = first_s or time.monotonic() - begun
    response.release_conn()
    return (tokens if is_whole else 0), first_s


def _lines(response):
    """Yield the data of each server-sent event."""
    rest = b""
    while chunk := response.read1():
        *events, rest = (rest + chunk).split(b"\n\n")
        yield from (event.removeprefix(b"data: ") for event in events)
