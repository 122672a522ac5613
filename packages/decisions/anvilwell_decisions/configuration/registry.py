"""Keys and member lists; all listed instances must prepare each change."""

import typing

from anvilwell_kernel.messages import codec as codecs
from anvilwell_kernel.messages import configuration as messages

RECORD_PREFIX = "anvilwell/config/"
ENTRY_MEMBERS_KEY = "anvilwell/config-members/entry"
_AGENT_MEMBERS_PREFIX = "anvilwell/config-members/agent/"


class MemberList(typing.NamedTuple):
    """The instances that are listed under one key."""

    instances: list[messages.Instance]


_CODEC = codecs.Codec([MemberList])


def record_key(service):
    """Return the key of the service's record."""
    return RECORD_PREFIX + service


def agents_key(service):
    """Return the key that lists the agents of `service`."""
    return _AGENT_MEMBERS_PREFIX + service


def decode(value):
    """Decode a `MemberList` from bytes; None gives an empty list."""
    return MemberList([]) if value is None else _CODEC.decode(value)


def encode(members):
    """Return `members` as bytes."""
    return _CODEC.encode(members)


def join(members, instance):
    """Return `members` with `instance`, which replaces one on the same VM."""
    others = [one for one in members.instances if one.vm_id != instance.vm_id]
    return MemberList(sorted([*others, instance]))


def prune(members, gone):
    """Return `members` without the instances in `gone`."""
    keys = {(one.vm_id, one.incarnation) for one in gone}
    return MemberList(
        [
            one
            for one in members.instances
            if (one.vm_id, one.incarnation) not in keys
        ]
    )
