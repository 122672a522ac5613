"""Messages about a data link itself."""

import typing


class Hello(typing.NamedTuple):
    """First message of each side: who speaks."""

    vm_id: str
    role: str
    service: str
    failure_domain: str
    incarnation: int


class Leaving(typing.NamedTuple):
    """The sender takes no new requests; those in flight go on."""

    vm_id: str


class AgentLoad(typing.NamedTuple):
    """An agent's own count of its requests, and its weight version.

    ``own`` is how many of them belong to the entry that it is sent to;
    ``reachable`` says whether the backend server answers the agent.
    """

    running: int
    queued: int
    limit: int
    version: str
    own: int = 0
    reachable: bool = True


KINDS = (Hello, Leaving, AgentLoad)
