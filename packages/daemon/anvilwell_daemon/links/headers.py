"""Which HTTP headers pass from hop to hop."""

from anvilwell_kernel import hop_by_hop
from anvilwell_kernel import web

# Those that each hop writes itself go too.
_DROPPED = hop_by_hop.HOP_BY_HOP | {"content-length", "date", "host", "server"}

_RESERVED = frozenset(
    (web.REQUEST_ID.lower(), web.VERDICT.lower(), web.REASON.lower())
)


def end_to_end(headers):
    """Return the headers that may pass on.

    Removed are the hop-by-hop headers, those that ``Connection`` names,
    those that the next hop sets itself and those that only this system
    may set.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names and values.

    Returns
    -------
    list of (str, str)
        In the same order.
    """
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _DROPPED | _RESERVED | named
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
