"""Finds the outcome of a change whose proposer has gone silent."""

import typing

from anvilwell_kernel.messages import configuration as messages

from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry


class Resolution(typing.NamedTuple):
    """What the record says of an attempt.

    ``document`` is what to learn, None while undecided; then ``write``
    is the tombstone to try, and ``tombstone`` what to learn if it
    lands.
    """

    document: messages.Document | None
    write: proposal.Write | None = None
    tombstone: messages.Document | None = None


def resolve(slot, prepare, in_force):
    """Decide on an attempt from the record.

    Parameters
    ----------
    slot : proposal.StoredValue
        The service's record as it was read.
    prepare : messages.PrepareChange
        The attempt in doubt.
    in_force : messages.Document
        What is in force at this instance.

    Returns
    -------
    Resolution
        Without document and write if the service has older data than
        the attempt was built on: then nothing can be decided here.
    """
    service = prepare.document.service
    record = records.decode(slot.value, service)
    if record.sequence > prepare.base_sequence:
        return Resolution(records.document_of(record))
    if max(record.sequence, in_force.sequence) < prepare.base_sequence:
        return Resolution(None)
    dead = records.tombstone(record, in_force)
    write = proposal.Write(
        registry.record_key(service), slot.revision, records.encode(dead)
    )
    return Resolution(None, write, records.document_of(dead))
