"""One watch on the etcd v3 JSON gateway."""

import threading
import time

from anvilwell_kernel import exceptions

from anvilwell_outside.adapters import etcd_wire
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.ports import keyvalue

MAX_LINE_BYTES = 4 << 20
_READ_BYTES = 1 << 16


class EtcdWatch(keyvalue.Watch):
    """Iterates over each `Change`; `close` works from any thread.

    It ends when closed or after `timeout_s` without a change, and
    raises ``exceptions.KeyValueUnavailable`` when it was cut or the
    changes asked for are no longer kept (``Compacted``).

    Parameters
    ----------
    response : urllib3.HTTPResponse
        The streamed message.
    client : http_client.HttpClient
        Turns urllib3's errors into ours.
    timeout_s : float
        Seconds without a change after which it ends.
    on_end : callable
        Called once when it ends.
    """

    def __init__(self, response, client, timeout_s, on_end):
        self._response = response
        self._client = client
        self._timeout_s = timeout_s
        self._on_end = on_end
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._changes = self._read()
        self._has_begun = False

    def __next__(self):
        """Return the next `Change`."""
        with self._lock:
            if self._closed.is_set() and not self._has_begun:
                raise StopIteration
            self._has_begun = True
        return next(self._changes)

    def close(self):
        """End the watch; a reader on another thread ends as well."""
        with self._lock:
            if self._closed.is_set():
                return
            self._closed.set()
            try:
                self._response.shutdown()
            except (OSError, RuntimeError, ValueError):
                # The connection is gone already.
                pass
            if not self._has_begun:
                # Nobody reads, so nobody else closes it.
                self._response.close()
        self._on_end()

    def _read(self):
        try:
            yield from self._read_until_idle()
        except exceptions.AnvilwellError:
            if not self._closed.is_set():
                raise
        finally:
            self.close()
            self._response.close()

    def _read_until_idle(self):
        idle_at = time.monotonic() + self._timeout_s
        for line in self._lines():
            changes = self._parse(line)
            yield from changes
            if changes:
                idle_at = time.monotonic() + self._timeout_s
            elif time.monotonic() >= idle_at:
                return

    def _parse(self, line):
        message = json_bodies.decode(etcd_wire.WATCH, line, "watch")
        result = message["result"]
        if result.get("canceled"):
            raise Compacted(
                "the watch's changes are no longer kept; read again from "
                f"revision {result.get('compact_revision', 0)}"
            )
        return [etcd_wire.change(event) for event in result.get("events", [])]

    def _lines(self):
        buffered = b""
        while True:
            chunk = self._read_some()
            if chunk is None:
                return
            if not chunk:
                raise exceptions.KeyValueUnavailable("the watch was cut")
            *lines, buffered = (buffered + chunk).split(b"\n")
            if len(buffered) > MAX_LINE_BYTES:
                raise exceptions.KeyValueUnavailable(
                    f"a watch's line is over {MAX_LINE_BYTES} bytes"
                )
            yield from filter(None, lines)

    def _read_some(self):
        """Return bytes, or None when it is idle for too long."""
        try:
            return self._response.read1(_READ_BYTES)
        except Exception as error:
            failure = self._client.failure(error)
            if isinstance(failure, exceptions.Timeout):
                return None
            raise exceptions.KeyValueUnavailable(
                f"the watch was cut: {failure.message}"
            ) from error


class Compacted(exceptions.KeyValueUnavailable):
    """Changes that a watch asked for are no longer kept."""
