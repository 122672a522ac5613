"""Sequences of calls to the key-value service, as generators.

Each generator yields actions and is sent their results: a `StoredValue` for
the read of a key, a list of documents for the read of records, a bool for a
compare-and-swap, and None if the key-value service did not respond.
"""

import typing

from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_decisions.configuration import resolution


class ReadKey(typing.NamedTuple):
    """Action: read one key; the result is a `proposal.StoredValue`."""

    key: str


class ReadRecords(typing.NamedTuple):
    """Action: read the records of `service`, or of all services if empty.

    The result is a list of documents.
    """

    service: str


def members_key(role):
    """Return the key of the member list for instances with `role`."""
    if role.service:
        return registry.agents_key(role.service)
    return registry.ENTRY_MEMBERS_KEY


def join(instance, role):
    """Add `instance` to its member list, then read the records.

    The order matters. A change that is accepted after the list was written
    must have been prepared by this instance too, and one that was accepted
    before is contained in the records that are read.

    Returns
    -------
    list of messages.Document or None
        None if a call failed. The caller then starts the join again, which
        is safe, since an instance is listed only once.
    """
    key = members_key(role)
    slot = yield ReadKey(key)
    if slot is None:
        return None
    members = registry.decode(slot.value)
    if instance not in members.instances:
        value = registry.encode(registry.join(members, instance))
        is_applied = yield proposal.CompareAndSwap(
            [proposal.Write(key, slot.revision, value)]
        )
        if not is_applied:
            return None
    return (yield ReadRecords(role.service))


def leave(instance, role):
    """Remove `instance` from its member list.

    Returns
    -------
    bool
        Whether it is certainly not listed any more.
    """
    key = members_key(role)
    slot = yield ReadKey(key)
    if slot is None:
        return False
    members = registry.decode(slot.value)
    if instance not in members.instances:
        return True
    value = registry.encode(registry.prune(members, [instance]))
    return (
        yield proposal.CompareAndSwap(
            [proposal.Write(key, slot.revision, value)]
        )
    )


def resolve(prepare, in_force):
    """Find the outcome of an attempt, or end the attempt by a tombstone.

    A tombstone is a write of the record that only increases its sequence, so
    that the accepting write of the attempt can no longer succeed.

    Returns
    -------
    messages.Document or None
        The document that is in force with this outcome, for
        ``Member.learn``; None if the outcome can't be decided now.
    """
    slot = yield ReadKey(registry.record_key(prepare.document.service))
    if slot is None:
        return None
    found = resolution.resolve(slot, prepare, in_force)
    if found.write is None:
        return found.document
    is_applied = yield proposal.CompareAndSwap([found.write])
    return found.tombstone if is_applied else None


def read_keys(service):
    """Read the keys that a change of `service` depends on.

    The lists are read after the record. If a list has changed since, this
    only makes the accepting write fail.

    Returns
    -------
    proposal.ServiceKeys or None
        None if a call failed.
    """
    keys = (
        registry.record_key(service),
        registry.ENTRY_MEMBERS_KEY,
        registry.agents_key(service),
    )
    slots = []
    for key in keys:
        slot = yield ReadKey(key)
        if slot is None:
            return None
        slots.append(slot)
    return proposal.ServiceKeys(*slots)
