"""A watch on the JSON gateway of etcd v3."""

import threading
import time

from anvilwell_kernel import exceptions

from anvilwell_outside.adapters import etcd_wire
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.ports import keyvalue

# Largest message of a watch; limits the memory for an incomplete line.
MAX_LINE_BYTES = 4 << 20
_READ_BYTES = 1 << 16


class EtcdWatch(keyvalue.Watch):
    """Iterator over the `Change`s of a watch.

    It ends when it is closed, from any thread, or after `timeout_s`
    without a change. It raises ``exceptions.KeyValueUnavailable`` if the
    connection breaks, and its subclass `Compacted` if the store has
    discarded the requested changes.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        The streamed response.
    client : http_client.HttpClient
        Converts urllib3's errors into those of this project.
    timeout_s : float
        Time without a change, in seconds, after which the watch ends.
    on_end : callable
        Called once, when the watch ends.
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
        """End the watch, even while another thread waits for a change."""
        with self._lock:
            if self._closed.is_set():
                return
            self._closed.set()
            try:
                self._response.shutdown()
            except (OSError, RuntimeError, ValueError):
                # The connection is already closed.
                pass
            if not self._has_begun:
                # Only a started iteration closes the response itself, in
                # `_read`. Otherwise the store would keep the watch open.
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
                "the store has discarded the changes that the watch "
                "requested; read again from "
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
                raise exceptions.KeyValueUnavailable(
                    "the connection of the watch was closed"
                )
            *lines, buffered = (buffered + chunk).split(b"\n")
            if len(buffered) > MAX_LINE_BYTES:
                raise exceptions.KeyValueUnavailable(
                    f"a line of the watch exceeds {MAX_LINE_BYTES} bytes"
                )
            yield from filter(None, lines)

    def _read_some(self):
        """Return the bytes that arrived, or None after a read timeout.

        They are empty at the end of the connection.
        """
        try:
            return self._response.read1(_READ_BYTES)
        except Exception as error:
            failure = self._client.failure(error)
            if isinstance(failure, exceptions.Timeout):
                return None
            raise exceptions.KeyValueUnavailable(
                f"the watch failed: {failure.message}"
            ) from error


class Compacted(exceptions.KeyValueUnavailable):
    """The store has discarded the changes that a watch requested."""
