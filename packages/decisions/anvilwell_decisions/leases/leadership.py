"""Takes over a leadership, with a new fencing number for each takeover."""

import enum
import typing

import pydantic

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

PREFIX = "anvilwell/lease/"


class Holder(typing.NamedTuple):
    """The value of the key that names the holder of a leadership."""

    vm_id: str
    fencing: int
    lease: int


HOLDER_ADAPTER = pydantic.TypeAdapter(Holder)


class Keys(typing.NamedTuple):
    """The two keys of a leadership; one read by prefix returns both."""

    prefix: str
    holder: str
    fencing: str


class Write(typing.NamedTuple):
    """One key of a conditional write; see ``ports.keyvalue.Swap``."""

    key: str
    expected: int
    value: bytes | None
    lease: int = 0


class Standing(enum.Enum):
    """The state of a leadership from one candidate's view."""

    FREE = "free"
    OTHERS = "others"
    OURS = "ours"


class Tenure(typing.NamedTuple):
    """A leadership that was won; it is valid while its lease is."""

    name: str
    fencing: int
    lease: int


def keys(name, prefix=PREFIX):
    """Return the `Keys` of the leadership called `name`."""
    own_prefix = f"{prefix}{name}/"
    return Keys(own_prefix, f"{own_prefix}holder", f"{own_prefix}fencing")


def read_fencing(entries_by_key, name):
    """Return the highest fencing number issued so far, 0 if none was."""
    entry = entries_by_key.get(keys(name).fencing)
    return int(entry.value) if entry else 0


class Leadership:
    """One candidate's decisions about one leadership.

    Each takeover raises the counter by the same conditional write that creates
    the holder's key. So no number is issued twice, even if the store drops a
    lease too early. The counter's key has no lease.

    Parameters
    ----------
    name : str
        Name of the leadership, for example ``rollout/planner-lm``.
    vm_id : str
        The candidate.
    prefix : str, optional
        Prefix of its keys.
    """

    def __init__(self, name, vm_id, prefix=PREFIX):
        self._name = name
        self._vm_id = vm_id
        self._keys = keys(name, prefix)
        self._min_number = 0

    def standing(self, entries_by_key, lease):
        """Return our `Standing` under `lease`, given the keys as read."""
        entry = entries_by_key.get(self._keys.holder)
        if entry is None:
            return Standing.FREE
        holder = HOLDER_ADAPTER.validate_json(entry.value)
        is_ours = holder.vm_id == self._vm_id and holder.lease == lease
        return Standing.OURS if is_ours else Standing.OTHERS

    def takeover_writes(self, entries_by_key, lease):
        """Return the writes of a takeover; all or none must be applied."""
        counter = entries_by_key.get(self._keys.fencing)
        known = int(counter.value) if counter else 0
        number = max(known, self._min_number) + 1
        holder = Holder(self._vm_id, number, lease)
        revision = counter.revision if counter else 0
        return [
            Write(
                self._keys.holder, 0, HOLDER_ADAPTER.dump_json(holder), lease
            ),
            Write(self._keys.fencing, revision, b"%d" % number),
        ]

    def read_tenure(self, entries_by_key, lease):
        """Return our `Tenure`, given the keys that were read.

        This resolves a takeover whose response was lost.
        """
        holder = HOLDER_ADAPTER.validate_json(
            entries_by_key[self._keys.holder].value
        )
        return Tenure(self._name, holder.fencing, lease)

    def won_tenure(self, writes, lease):
        """Return our `Tenure` once the `writes` of a takeover are applied."""
        return Tenure(self._name, int(writes[1].value), lease)

    def record_higher(self, highest):
        """Record that a fencing gate has seen a number above the counter.

        This happens only if the store was restored from older data. The next
        takeover uses a higher number.
        """
        self._min_number = max(self._min_number, highest)


def check_tenure(tenure, session, now):
    """Check that a tenure allows an external action at `now`.

    It has to be called right before each action.

    Raises
    ------
    exceptions.Fenced
        If the lease of `tenure` was lost or has passed its deadline, which
        includes a margin: the action must not be done.
    """
    if session.lease != tenure.lease or not session.is_held(now):
        raise exceptions.Fenced(
            f"the lease of {tenure.name} is past its deadline;"
            " another daemon may hold it now",
            reason=reasons.Refusal.NOT_LEADER,
        )
