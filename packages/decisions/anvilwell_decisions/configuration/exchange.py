"""Anti-entropy: finds the documents that two instances lack."""

import typing

from anvilwell_kernel.messages import configuration as messages
import xxhash


# Maximum size of a document's text.
MAX_DOCUMENT_BYTES = 256 << 10
# Maximum size of the documents in one message.
MAX_EXCHANGE_BYTES = 512 << 10
# Allowance for the other fields of a document in a message.
_OVERHEAD_BYTES = 256


class Difference(typing.NamedTuple):
    """The difference between the documents of two instances.

    ``documents`` holds those that the other instance lacks, ``wanted`` the
    names of the services whose documents this instance lacks.
    """

    documents: list
    wanted: list


def versions_of(documents_by_service, services=()):
    """Return a `messages.DocumentVersion` for each document, sorted.

    Parameters
    ----------
    documents_by_service : dict
        The documents in force at this instance.
    services : collection of str
        The services to include; empty means all.
    """
    return [
        messages.DocumentVersion(
            service, document.generation, document.sequence
        )
        for service, document in sorted(documents_by_service.items())
        if not services or service in services
    ]


def digest_of(documents_by_service, services=()):
    """Return a `messages.DocumentDigest`, a hash of the document versions."""
    versions = versions_of(documents_by_service, services)
    state_hash = xxhash.xxh3_64_intdigest(repr(versions).encode())
    return messages.DocumentDigest(sorted(services), state_hash)


def compare(documents_by_service, versions, services, follows):
    """Return the `Difference` to an instance that has `versions`.

    Parameters
    ----------
    documents_by_service : dict
        The documents in force at this instance.
    versions : list of messages.DocumentVersion
        The versions of `services` at the other instance.
    services : collection of str
        The services that were compared; empty means all.
    follows : callable
        Takes a service's name; returns whether this instance follows it.
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
    """Yield documents until the next one would not fit into the message."""
    size = 0
    for document in documents:
        size += len(document.text.encode()) + _OVERHEAD_BYTES
        if size > MAX_EXCHANGE_BYTES:
            return
        yield document


def _sequence(documents_by_service, service):
    document = documents_by_service.get(service)
    return document.sequence if document else 0
