"""Fixtures that the kernel's tests share."""

import contextlib
import socket

import pytest

from anvilwell_kernel import web

TIMEOUT_S = 20.0


class RawConnection:
    """Sends raw bytes to a server and reads the bytes that it returns."""

    def __init__(self, address):
        self._socket = socket.create_connection(address, TIMEOUT_S)

    def send(self, data):
        self._socket.sendall(data)
        return self

    def read_all(self):
        """Return all bytes until the server closes the connection."""
        with contextlib.suppress(ConnectionResetError):
            return b"".join(iter(lambda: self._socket.recv(65536), b""))
        return b""

    def close(self):
        self._socket.close()


@pytest.fixture
def serve():
    """Return a function that starts a server on a free port."""
    with contextlib.ExitStack() as stack:

        def start(**options):
            server = web.WebServer("127.0.0.1", 0, **options)
            server.serve_in_thread()
            stack.callback(server.close)
            return server

        yield start


@pytest.fixture
def connect():
    """Return a function that opens a raw connection to a server."""
    with contextlib.ExitStack() as stack:

        def open_connection(server):
            raw = RawConnection(server.address)
            stack.callback(raw.close)
            return raw

        yield open_connection
