"""HTTP requests and response heads, and functions on their headers."""

import typing

from anvilwell_decisions.requests import fingerprints
from anvilwell_kernel import hop_by_hop

Headers = tuple[tuple[str, str], ...]


class Request(typing.NamedTuple):
    """A whole HTTP request.

    ``received_at`` is the time at which its head arrived, in seconds of the
    event loop's clock. ``caller`` is the IP address that it came from, "" if
    the gateway made it. ``organisation`` is the caller's organisation, "" if
    none is known.
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
        """The request target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self):
        """The host name of the Host header in lower case, without a port."""
        return find(self.headers, "host").partition(":")[0].lower()


class Reply(typing.NamedTuple):
    """The head of a response: its status and headers."""

    status: int
    headers: Headers


def find(headers, name, default=""):
    """Return the first value of header `name`, whose case is ignored."""
    wanted = name.lower()
    values = (value for key, value in headers if key.lower() == wanted)
    return next(values, default)


def fingerprint(request):
    """Return a hash that is the same each time a `Request` is sent."""
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
    """Return `headers` except those in `names`, given in lower case."""
    return tuple(pair for pair in headers if pair[0].lower() not in names)


def end_to_end(headers):
    """Return `headers` without the hop-by-hop ones."""
    named = {
        name.strip().lower() for name in find(headers, "connection").split(",")
    }
    return without(headers, hop_by_hop.HOP_BY_HOP | named)


def decode_headers(pairs):
    """Convert h11's headers to `Headers`, keeping the sender's case."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs.raw_items()
    )


def encode_headers(headers):
    """Convert `Headers` to a list of byte pairs for h11."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]
