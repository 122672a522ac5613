"""Messages by which daemons agree on the members of the fleet."""

import enum
import typing


class State(enum.IntEnum):
    """The state of a member.

    Of two states for the same incarnation, the greater one is used.
    """

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(typing.NamedTuple):
    """A daemon and its state.

    Only the member itself increases its ``incarnation``, in order to refute
    a state that others reported of it.
    """

    vm_id: str
    address: str
    failure_domain: str
    role: str
    service: str
    state: State
    incarnation: int

    @property
    def rank(self):
        """The key by which records of one member are ordered."""
        return (self.incarnation, self.state)


class Heartbeat(typing.NamedTuple):
    """Asks a neighbour for an `Ack`; both carry changes of members."""

    number: int
    members: list[Member]


class Ack(typing.NamedTuple):
    """Answers the heartbeat with the same ``number``."""

    number: int
    members: list[Member]


class Probe(typing.NamedTuple):
    """Asks a neighbour to probe `subject` on behalf of the sender."""

    subject: str
    address: str


class ProbeAck(typing.NamedTuple):
    """States that `subject` answered the neighbour that probed it."""

    subject: str


class Digest(typing.NamedTuple):
    """The hash of each bucket of the sender's member table."""

    hashes: list[int]


class Difference(typing.NamedTuple):
    """The sender's members in the buckets whose hashes differ.

    If ``wants_answer`` is true, the receiver answers with its own members
    in the same buckets.
    """

    buckets: list[int]
    members: list[Member]
    wants_answer: bool


KINDS = (Heartbeat, Ack, Probe, ProbeAck, Digest, Difference)
