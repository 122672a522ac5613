"""One caller: asks entries and records every ask and answer."""

import itertools
import time
import typing

import urllib3

from anvilwell_bench.load import answers
from anvilwell_kernel import reasons

_TIMEOUT_SLACK_S = 10.0
_NOTICE_ATTEMPTS = 4
_NOTICE_RETRY_S = 0.5
_AVOID_S = 1.0
_MS_PER_S = 1000


class Entry(typing.NamedTuple):
    """An entry and where callers reach it."""

    name: str
    url: str


class Ask(typing.NamedTuple):
    """One request before it is given a number and an entry."""

    service: str
    method: str
    path: str
    headers: tuple = ()
    key: str = ""
    idempotent: bool = True
    prompt: str = ""
    seed: int = 0
    max_tokens: int = 0
    body: str = ""
    deadline_s: float = 30.0

    @property
    def is_model(self):
        """Whether a model engine is to answer it."""
        return self.max_tokens > 0


class Caller:
    """Sends asks, to another entry if the last one could not be reached.

    Parameters
    ----------
    name : str
        Prefix of the numbers of its asks.
    entries : list of Entry
        Entries in the order of preference.
    recorder : recorder.Recorder
        Where each ask and answer goes.
    """

    def __init__(self, name, entries, recorder):
        self._name = name
        self._entries = list(entries)
        self._recorder = recorder
        self._numbers = itertools.count(1)
        self._avoid_until_by_entry = {}
        self._http = urllib3.PoolManager(retries=False, maxsize=1)

    def next_name(self):
        """Return the number of the next ask."""
        return f"{self._name}-{next(self._numbers)}"

    def send(self, name, ask):
        """Send `ask` under the number `name`; return its `Answer`."""
        entry = self._choose_entry()
        sent_at = self._recorder.now()
        self._recorder.write("ask", at=sent_at, **_ask_line(name, entry, ask))
        answer = self._exchange(entry, ask)
        latency_s = self._recorder.now() - sent_at
        self._recorder.write(
            "answer",
            ask=name,
            latency_s=latency_s,
            **answers.as_line(answer),
        )
        if not answer.status:
            self._avoid_until_by_entry[entry] = sent_at + _AVOID_S
        return answer

    def send_notice(self, ask):
        """Send a keyed `ask` until its outcome is known; return it."""
        for _ in range(_NOTICE_ATTEMPTS):
            answer = self.send(self.next_name(), ask)
            if answer.whole:
                break
            time.sleep(max(answer.retry_after_s, _NOTICE_RETRY_S))
        return answer

    def _choose_entry(self):
        self._entries.append(self._entries.pop(0))
        now = self._recorder.now()
        return next(
            (
                entry
                for entry in self._entries
                if self._avoid_until_by_entry.get(entry, 0.0) <= now
            ),
            self._entries[0],
        )

    def _exchange(self, entry, ask):
        try:
            with self._http.request(
                ask.method,
                entry.url + ask.path,
                body=_body(ask),
                headers=dict(_headers(ask)),
                timeout=ask.deadline_s + _TIMEOUT_SLACK_S,
                preload_content=False,
            ) as response:
                return _read(ask, response)
        except urllib3.exceptions.NewConnectionError:
            reason = str(reasons.Refusal.CONNECT_FAILED)
            return answers.Answer(0, reason=reason)
        except urllib3.exceptions.HTTPError:
            return answers.Answer(0)


def _read(ask, response):
    if ask.is_model:
        return answers.read_completion(response)
    return answers.read_body(response)


def _headers(ask):
    yield "Connection", "close"
    yield "Content-Type", "application/json"
    yield "Anvilwell-Priority", "live"
    yield "Anvilwell-Deadline-Ms", str(int(ask.deadline_s * _MS_PER_S))
    if ask.key:
        yield "Idempotency-Key", ask.key
    yield from ask.headers


def _body(ask):
    if not ask.is_model:
        return ask.body.encode() or None
    return answers.encode(
        {
            "model": ask.service,
            "prompt": ask.prompt,
            "seed": ask.seed,
            "max_tokens": ask.max_tokens,
            "stream": True,
        }
    )


def _ask_line(name, entry, ask):
    return {
        "ask": name,
        "entry": entry.name,
        "service": ask.service,
        "method": ask.method,
        "path": _server_path(ask),
        "key": ask.key,
        "idempotent": ask.idempotent,
        "prompt": ask.prompt,
        "seed": ask.seed,
        "max_tokens": ask.max_tokens,
        "body": ask.body,
    }


def _server_path(ask):
    """Return the path that the backend server sees."""
    return ask.path.removeprefix(f"/services/{ask.service}")
