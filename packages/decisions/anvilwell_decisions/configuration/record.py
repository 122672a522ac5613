"""The record of a service, as stored in the key-value service."""

import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec as codecs
from anvilwell_kernel.messages import configuration as messages

from anvilwell_decisions.configuration import limits

SCHEMA = 1


class Change(typing.NamedTuple):
    """An accepted change; ``attempt`` identifies its proposal."""

    change_id: str
    attempt: str
    generation: int
    digest: str
    operator: str


class Record(typing.NamedTuple):
    """The document of a service and its recent changes.

    ``generation`` counts accepted documents and ``sequence`` counts writes of
    the record, including tombstones. A record with generation 0 has no
    document yet.
    """

    schema: int
    service: str
    generation: int
    sequence: int
    text: str
    history: list[Change]


_CODEC = codecs.Codec([Record])


def empty(service):
    """Return the record of a service that has none stored yet."""
    return Record(SCHEMA, service, 0, 0, "", [])


def encode(record):
    """Return `record` as bytes."""
    return _CODEC.encode(record)


def decode(value, service):
    """Decode a record from bytes; None gives an empty record.

    Raises
    ------
    exceptions.MalformedMessage
        If `value` is not a record or has a later schema.
    """
    if value is None:
        return empty(service)
    record = _CODEC.decode(value)
    if record.schema > SCHEMA:
        raise exceptions.MalformedMessage(
            f"record of service {service} has schema {record.schema}, but "
            f"this daemon supports only up to {SCHEMA}; update this daemon"
        )
    return record


def document_of(record):
    """Return the document that `record` holds."""
    return messages.Document(
        record.service, record.generation, record.sequence, record.text
    )


def accept(record, document, change):
    """Return the record that follows `record` once `change` is accepted."""
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
    """Return a record that keeps the document and increases the sequence.

    Writing it ends all attempts that were built on earlier sequences.

    Parameters
    ----------
    record : Record
        The record that the key-value service holds.
    document : messages.Document
        The document in force at the writer. It is used if it is newer than
        `record`, which happens if the key-value service has lost data.
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
