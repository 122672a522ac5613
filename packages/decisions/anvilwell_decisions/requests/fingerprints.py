"""Fingerprints that identify repeated requests to a backend server."""

import hashlib

DIGEST_BYTES = 16
# Headers by which a backend server may distinguish callers.
CREDENTIALS = ("authorization", "cookie")


def fingerprint(method, host, target, body, credentials=()):
    """Return the fingerprint of a request, as hexadecimal digits.

    A caller that repeats a request gets the same fingerprint, whichever entry
    and request id are used. As callers choose the content, the fingerprint is
    a cryptographic digest: a caller can't craft a request with the fingerprint
    of another caller's request.

    Parameters
    ----------
    method, host, target : str
        The request line and host; ``target`` includes the query.
    body : bytes
        The complete body.
    credentials : iterable of str
        Identity of the caller: the name of an organisation, which may have
        several keys, and values of the headers named in `CREDENTIALS`.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (method, host, target, *credentials)
    for part in (*(text.encode() for text in texts), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
