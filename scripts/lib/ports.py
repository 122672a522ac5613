"""Prints free TCP ports, one a line: ``ports.py COUNT``."""

import contextlib
import socket
import sys


def free_ports(count):
    """Return `count` different ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


if __name__ == "__main__":
    print("\n".join(map(str, free_ports(int(sys.argv[1])))))
