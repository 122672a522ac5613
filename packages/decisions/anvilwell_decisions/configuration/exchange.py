"""Anti-entropy: finds what two instances lack of each other."""

import typing

from anvilwell_kernel.messages import configuration as messages
import xxhash


MAX_DOCUMENT_BYTES = 256 << 10
MAX_EXCHANGE_BYTES = 512 << 10
_OVERHEAD_BYTES = 256


class Difference(typing.NamedTuple):
    """What the other instance lacks, and what this one does."""

    documents: list
    wanted: list


def versions_of(documents_by_service, services=()):
    """Return a `messages.DocumentVersion` for each document, sorted.

    Parameters
    ----------
    documents_by_service : dict
        The documents in force here.
    services : collection of str
        Restricts the result; empty means all.
    """
    return [
        messages.DocumentVersion(
            service, document.generation, document.sequence
        )
        for service, document in sorted(documents_by_service.items())
        if not services or service in services
    ]


def digest_of(documents_by_service, services=()):
    """Return the `messages.DocumentDigest` of this instance's documents."""
    versions = versions_of(documents_by_service, services)
    state_hash = xxhash.xxh3_64_intdigest(repr(versions).encode())
    return messages.DocumentDigest(sorted(services), state_hash)


def compare(documents_by_service, versions, services, follows):
    """Return the `Difference` to an instance with `versions`.

    Parameters
    ----------
    documents_by_service : dict
        The documents in force here.
    versions : list of messages.DocumentVersion
        How far the other is with `services`.
    services : collection of str
        What was compared; empty means all.
    follows : callable
        Whether this instance follows a service.
    """
    theirs_by_service = {one.service: one.sequence for one in versions}
    documents = [
        document
        for service, document in sorted(documents_by_service.items())
        if document.sequence > theirs_by_service.get(service, 0)
        and (not services or service in services)
    ]
    documents = list(limit(documents))
    wanted = [
        service
        for service, sequence in sorted(theirs_by_service.items())
        if follows(service)
        and sequence > _sequence(documents_by_service, service)
    ]
    return Difference(documents, wanted)


def limit(documents):
    """Yield the first of `documents` that fit into one message."""
    size = 0
    for document in documents:
        size += len(document.text.encode()) + _OVERHEAD_BYTES
        if size > MAX_EXCHANGE_BYTES:
            return
        yield document


def _sequence(documents_by_service, service):
    document = documents_by_service.get(service)
    return document.sequence if document else 0
