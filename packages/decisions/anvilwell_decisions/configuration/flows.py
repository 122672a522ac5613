"""Sequences of calls to the key-value service, as generators.

Each yields an action and is sent its result: a `StoredValue` or a list of
them for a read, a bool for a swap, and None when no answer came.
"""

import typing

from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_decisions.configuration import resolution


class ReadKey(typing.NamedTuple):
    """Action: read one key; the result is a `proposal.StoredValue`."""

    key: str


class ReadRecords(typing.NamedTuple):
    """Action: read the records of `service`, of all if it is "".

    The result is a list of documents.
    """

    service: str


def members_key(role):
    """Return the key of the list that an instance of `role` joins."""
    if role.service:
        return registry.agents_key(role.service)
    return registry.ENTRY_MEMBERS_KEY


def join(instance, role):
    """List `instance`, then read the records.

    The order matters: a change that is accepted after the list was
    written cannot land without this instance, and one accepted before
    is what is read.

    Returns
    -------
    list of messages.Document or None
        None if some call had no answer; the join is then tried again
        from the start, which is harmless.
    """
    key = members_key(role)
    slot = yield ReadKey(key)
    if slot is None:
        return None
    members = registry.decode(slot.value)
    if instance not in members.instances:
        value = registry.encode(registry.join(members, instance))
        landed = yield proposal.CompareAndSwap(
            [proposal.Write(key, slot.revision, value)]
        )
        if not landed:
            return None
    return (yield ReadRecords(role.service))


def leave(instance, role):
    """Take `instance` off its list; return whether it is off."""
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
    """Find the outcome of `prepare`, or decide it by a tombstone.

    Returns
    -------
    messages.Document or None
        What to learn; None if nothing could be decided now.
    """
    slot = yield ReadKey(registry.record_key(prepare.document.service))
    if slot is None:
        return None
    found = resolution.resolve(slot, prepare, in_force)
    if found.write is None:
        return found.document
    landed = yield proposal.CompareAndSwap([found.write])
    return found.tombstone if landed else None


def read_keys(service):
    """Read what a change of `service` depends on.

    The lists are read after the record: a stale list only makes the
    accepting write fail.

    Returns
    -------
    proposal.ServiceKeys or None
        None if some call had no answer.
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
