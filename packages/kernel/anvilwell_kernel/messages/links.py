"""Messages about the state of a data link and of its two ends."""

import typing


class Hello(typing.NamedTuple):
    """The first message of each side, which identifies the sender."""

    vm_id: str
    role: str
    service: str
    failure_domain: str
    incarnation: int


class Leaving(typing.NamedTuple):
    """The sender accepts no new requests; those in flight continue."""

    vm_id: str


class AgentLoad(typing.NamedTuple):
    """The number of requests at an agent, and its weight version.

    ``own`` counts the requests of the entry that receives the message, and
    ``reachable`` says whether the backend server answers the agent.
    """

    running: int
    queued: int
    limit: int
    version: str
    own: int = 0
    reachable: bool = True


KINDS = (Hello, Leaving, AgentLoad)
