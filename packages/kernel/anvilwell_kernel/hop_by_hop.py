"""HTTP headers that apply to one connection and are not forwarded."""

# RFC 9110, section 7.6.1; the names are in lower case.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
