"""Prints free TCP ports, one a line: ``ports.py COUNT``."""

import contextlib
import random
import socket
import sys

# Below what Linux gives to connections, above well-known services.
PORTS = range(12000, 32768)


def free_ports(count):
    """Return `count` different ports that are free now.

    Whatever connects or listens on any port in the meantime is given none
    of these.
    """
    found = []
    with contextlib.ExitStack() as stack:
        for port in random.sample(PORTS, len(PORTS)):
            if len(found) == count:
                break
            one = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                one.bind(("127.0.0.1", port))
                found.append(port)
    return found


if __name__ == "__main__":
    print("\n".join(map(str, free_ports(int(sys.argv[1])))))
