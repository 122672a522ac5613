"""What a server has read and what a client has been answered."""

import typing

from anvilwell_decisions.requests import fingerprints
from anvilwell_kernel import hop_by_hop

Headers = tuple[tuple[str, str], ...]


class Request(typing.NamedTuple):
    """One whole request; ``received_at`` is the time its head came.

    ``received_at`` is in seconds of the event loop's clock; ``caller`` is
    the IP address that it came from, "" if it is our own.
    ``organisation`` names who sends it, "" for nobody in particular.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float = 0.0
    caller: str = ""
    organisation: str = ""

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self):
        """The host's name in lower case, without a port."""
        return find(self.headers, "host").partition(":")[0].lower()


class Reply(typing.NamedTuple):
    """The head of an answer."""

    status: int
    headers: Headers


def find(headers, name, default=""):
    """Return the first value of header `name`, in any case."""
    wanted = name.lower()
    values = (value for key, value in headers if key.lower() == wanted)
    return next(values, default)


def fingerprint(request):
    """Return what is the same each time a `Request` is sent."""
    return fingerprints.fingerprint(
        request.method,
        request.host,
        request.target,
        request.body,
        (
            request.organisation,
            *(
                find(request.headers, name)
                for name in fingerprints.CREDENTIALS
            ),
        ),
    )


def without(headers, names):
    """Return `headers` less those called one of `names` (lower case)."""
    return tuple(pair for pair in headers if pair[0].lower() not in names)


def end_to_end(headers):
    """Return `headers` less those that concern one connection only."""
    named = {
        name.strip().lower() for name in find(headers, "connection").split(",")
    }
    return without(headers, hop_by_hop.HOP_BY_HOP | named)


def decode_headers(pairs):
    """Return `Headers` of h11's header list, in the sender's case."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs.raw_items()
    )


def encode_headers(headers):
    """Return `headers` as h11 takes them."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]
