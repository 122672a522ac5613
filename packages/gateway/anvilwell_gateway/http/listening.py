"""Opens listening sockets before the rest of the program is loaded.

Loading takes about 0.45 s on an entry's VM. Callers that connect meanwhile
wait in the backlog of the listening socket. Without a listening socket their
connections are reset, and most of their retries as well. To be fast itself,
this module imports little, and only from the standard library.
"""

import configparser
import socket
import typing

# Limit of connections that wait to be accepted.
BACKLOG = 512
_SECTION = "entry"
_KEYS = ("listen", "ready")


class EarlyListeners(typing.NamedTuple):
    """Listening sockets by address, and the problems in opening them.

    Problems of the settings are reported in full when the rest of the
    program loads them.
    """

    sockets_by_address: dict
    problems: tuple = ()

    def take(self, address):
        """Remove and return the socket that listens on `address`, or None."""
        return self.sockets_by_address.pop(str(address), None)


def open_early(path):
    """Open the listening sockets of the entry whose settings are at `path`.

    Returns
    -------
    EarlyListeners
    """
    settings = configparser.ConfigParser(interpolation=None)
    sockets_by_address = {}
    try:
        settings.read(path, encoding="utf-8")
        for key in _KEYS:
            address = settings.get(_SECTION, key)
            sockets_by_address[address] = _listen(address)
    except (OSError, ValueError, configparser.Error) as error:
        return EarlyListeners(sockets_by_address, (repr(error),))
    return EarlyListeners(sockets_by_address)


def _listen(address):
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)
