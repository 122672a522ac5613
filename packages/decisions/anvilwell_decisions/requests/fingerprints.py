"""Tells whether two requests ask a backend server for the same thing."""

import hashlib

DIGEST_BYTES = 16
# What a backend server tells callers apart by.
CREDENTIALS = ("authorization", "cookie")


def fingerprint(method, host, target, body, credentials=()):
    """Return the fingerprint of a request, as hexadecimal digits.

    It is the same each time a caller sends the same request, by whatever
    entry and under whatever request id. Callers choose what they send, so
    it is a cryptographic digest: nobody can make another's request look
    like their own.

    Parameters
    ----------
    method, host, target : str
        What is asked for; ``target`` has the query.
    body : bytes
        The whole body.
    credentials : iterable of str
        Who sends it: the name of an organisation, which may have several
        keys, and values of the headers named in `CREDENTIALS`.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (method, host, target, *credentials)
    for part in (*(text.encode() for text in texts), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
