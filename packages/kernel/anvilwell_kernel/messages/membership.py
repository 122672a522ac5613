"""Messages by which daemons agree on who is there."""

import enum
import typing


class State(enum.IntEnum):
    """A member's state; of one incarnation the greater state wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(typing.NamedTuple):
    """What is known of one daemon.

    ``incarnation`` is raised by the member alone, to refute what others
    say of it.
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
        """The order by which two records of a member are compared."""
        return (self.incarnation, self.state)


class Heartbeat(typing.NamedTuple):
    """Asks a neighbour for an `Ack`; carries news both ways."""

    number: int
    members: list[Member]


class Ack(typing.NamedTuple):
    """Answers the heartbeat of that number."""

    number: int
    members: list[Member]


class Probe(typing.NamedTuple):
    """Asks a neighbour to try `subject` in the sender's place."""

    subject: str
    address: str


class ProbeAck(typing.NamedTuple):
    """Says that `subject` answered the asked neighbour."""

    subject: str


class Digest(typing.NamedTuple):
    """One hash for each bucket of the sender's table."""

    hashes: list[int]


class Difference(typing.NamedTuple):
    """The sender's members in buckets that differ.

    ``wants_answer`` asks for the receiver's members of the same ones.
    """

    buckets: list[int]
    members: list[Member]
    wants_answer: bool


KINDS = (Heartbeat, Ack, Probe, ProbeAck, Digest, Difference)
