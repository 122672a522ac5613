"""Which HTTP headers pass from hop to hop."""

from anvilwell_kernel import web

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

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
    dropped = _HOP_BY_HOP | _RESERVED | named
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
