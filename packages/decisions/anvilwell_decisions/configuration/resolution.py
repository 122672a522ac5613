"""Finds the outcome of a change if its proposer does not report it."""

import typing

from anvilwell_kernel.messages import configuration as messages

from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry


class Resolution(typing.NamedTuple):
    """The outcome of an attempt according to the record.

    If the attempt is decided, ``document`` is the document to apply. If not,
    ``write`` writes a tombstone, and ``tombstone`` is the document to apply
    if that write succeeds.
    """

    document: messages.Document | None
    write: proposal.Write | None = None
    tombstone: messages.Document | None = None


def resolve(slot, prepare, in_force):
    """Determine the outcome of an attempt from the record.

    Parameters
    ----------
    slot : proposal.StoredValue
        The service's record as it was read.
    prepare : messages.PrepareChange
        The attempt whose outcome is unknown.
    in_force : messages.Document
        The document in force at this instance.

    Returns
    -------
    Resolution
        Without document and write if the attempt was built on newer data than
        both the key-value service and this instance have. The outcome can't
        be determined here then.
    """
    service = prepare.document.service
    record = records.decode(slot.value, service)
    if record.sequence > prepare.base_sequence:
        return Resolution(records.document_of(record))
    if max(record.sequence, in_force.sequence) < prepare.base_sequence:
        return Resolution(None)
    tombstone = records.tombstone(record, in_force)
    write = proposal.Write(
        registry.record_key(service), slot.revision, records.encode(tombstone)
    )
    return Resolution(None, write, records.document_of(tombstone))
