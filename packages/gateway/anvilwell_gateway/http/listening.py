"""Opens listening sockets before the rest of the program is loaded.

Loading takes about 0.45 s on an entry's VM. Callers that connect meanwhile
wait in the backlog; without a listener their connections are reset, and
those who try once more are mostly reset again. Imports nothing but the
standard library, and little of that.
"""

import configparser
import socket
import typing

BACKLOG = 512
_SECTION = "entry"
_KEYS = ("listen", "ready")


class EarlyListeners(typing.NamedTuple):
    """Listening sockets by address, and why there are fewer than asked.

    What is wrong with the settings is told in full once they are loaded.
    """

    sockets_by_address: dict
    problems: tuple = ()

    def take(self, address):
        """Return the socket that listens on `address`, or None."""
        return self.sockets_by_address.pop(str(address), None)


def open_early(path):
    """Return the `EarlyListeners` of an entry with settings at `path`."""
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
