"""The entries that a program may call, by name."""

import itertools
import threading
import time
import typing

import urllib3

CONNECT_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 64 << 20
AVOID_S = 1.0
_CONNECTIONS = 64


class Entry(typing.NamedTuple):
    """One entry; ``address`` is ``ip:port``."""

    name: str
    address: str


class Reply(typing.NamedTuple):
    """A whole answer; status 0 and no body if the connection was lost."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


LOST = Reply(0, urllib3.HTTPHeaderDict(), b"")


def parse_entry(text):
    """Return the `Entry` in ``name=ip:port``, or in ``ip:port``."""
    name, _, address = text.strip().rpartition("=")
    return Entry(name or address, address)


class Entries:
    """Takes the entries in turn, as a balancer would.

    One that lost a call is left out for `AVOID_S`, unless all are.

    Parameters
    ----------
    entries : iterable of Entry
        At least one.
    """

    def __init__(self, entries):
        self._entries = tuple(entries)
        self._turns = itertools.cycle(self._entries)
        self._lock = threading.Lock()
        self._avoid_until_by_name = {}
        self._http = urllib3.PoolManager(
            num_pools=len(self._entries) + 1,
            maxsize=_CONNECTIONS,
            retries=False,
        )

    def take(self):
        """Return the entry whose turn it is."""
        now = time.monotonic()
        with self._lock:
            turns = [next(self._turns) for _ in self._entries]
            fit = [one for one in turns if self._is_fit(one, now)]
            chosen = (fit or turns)[0]
            while turns[-1] != chosen:
                turns.append(next(self._turns))
            return chosen

    def avoid(self, entry):
        """Leave `entry` out for a while, as it lost a call."""
        with self._lock:
            until = time.monotonic() + AVOID_S
            self._avoid_until_by_name[entry.name] = until

    def _is_fit(self, entry, now):
        return self._avoid_until_by_name.get(entry.name, 0.0) <= now

    def open(self, entry, method, path, *, body, headers, timeout_s):
        """Send a call; return urllib3's response with the body unread."""
        return self._http.request(
            method,
            f"http://{entry.address}{path}",
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            preload_content=False,
        )

    def call(self, entry, method, path, *, body=None, headers, timeout_s):
        """Send a call and return its `Reply`, `LOST` if there is none."""
        try:
            response = self.open(
                entry,
                method,
                path,
                body=body,
                headers=headers,
                timeout_s=timeout_s,
            )
            data = response.read(MAX_BODY_BYTES)
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            self.avoid(entry)
            return LOST
        return Reply(response.status, response.headers, data)
