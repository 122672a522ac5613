"""The record of a service: what its key in the service holds."""

import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec as codecs
from anvilwell_kernel.messages import configuration as messages

from anvilwell_decisions.configuration import limits

SCHEMA = 1


class Change(typing.NamedTuple):
    """One accepted change; ``attempt`` is unique to one proposal."""

    change_id: str
    attempt: str
    generation: int
    digest: str
    operator: str


class Record(typing.NamedTuple):
    """A service's document with its recent changes.

    ``generation`` counts accepted documents, ``sequence`` writes of the
    record. A record of generation 0 has no document yet.
    """

    schema: int
    service: str
    generation: int
    sequence: int
    text: str
    history: list[Change]


_CODEC = codecs.Codec([Record])


def empty(service):
    """Return the record of a service that has no key yet."""
    return Record(SCHEMA, service, 0, 0, "", [])


def encode(record):
    """Return `record` as bytes."""
    return _CODEC.encode(record)


def decode(value, service):
    """Return the record in `value`, an empty one if it is None.

    Raises
    ------
    exceptions.MalformedMessage
        If it is not a record, or of a later schema.
    """
    if value is None:
        return empty(service)
    record = _CODEC.decode(value)
    if record.schema > SCHEMA:
        raise exceptions.MalformedMessage(
            f"record of {service} has schema {record.schema}, known: "
            f"{SCHEMA}; update this daemon"
        )
    return record


def document_of(record):
    """Return the document that `record` holds."""
    return messages.Document(
        record.service, record.generation, record.sequence, record.text
    )


def accept(record, document, change):
    """Return `record` after `change` to `document`."""
    history = [*record.history, change][-limits.HISTORY_CHANGES :]
    return Record(
        SCHEMA,
        record.service,
        document.generation,
        document.sequence,
        document.text,
        history,
    )


def tombstone(record, document):
    """Return a record in which only the sequence has moved on.

    Parameters
    ----------
    record : Record
        What the service holds.
    document : messages.Document
        What is in force at the writer; never older than `record`
        unless the service has lost data.
    """
    newest = max(document_of(record), document, key=lambda one: one.sequence)
    return record._replace(
        generation=newest.generation,
        sequence=newest.sequence + 1,
        text=newest.text,
    )


def find_attempt(record, attempt):
    """Return the `Change` of `attempt` in the history, or None."""
    return next(
        (one for one in record.history if one.attempt == attempt), None
    )


def find_change(record, change_id):
    """Return the `Change` with `change_id` in the history, or None."""
    return next(
        (one for one in record.history if one.change_id == change_id), None
    )
