"""The sections of the daemon's settings, with defaults."""

import typing

import typing_extensions

from anvilwell_kernel.config import options

Doc = typing_extensions.Doc


class DaemonSection(typing.NamedTuple):
    """``[daemon]``: who and where this daemon is."""

    vm_id: typing.Annotated[
        options.Name, Doc("This VM's id in the platform's VM list")
    ]
    role: typing.Annotated[
        typing.Literal["entry", "agent"],
        Doc("`entry` faces callers, `agent` stands beside a backend server"),
    ]
    failure_domain: typing.Annotated[
        options.Name, Doc("Failure domain of this VM")
    ]
    region: typing.Annotated[options.Name, Doc("Region of this VM")] = "main"
    address: typing.Annotated[
        options.AddressOption | None,
        Doc("Where other daemons dial this one; the listener if left out"),
    ] = None
    data_folder: typing.Annotated[
        options.Path | None, Doc("Folder for bulk data, on VMs with a disk")
    ] = None
    drain_limit_s: typing.Annotated[
        options.Duration,
        Doc("Longest wait at shutdown for requests in flight, in seconds"),
    ] = 30.0


class EntrySection(typing.NamedTuple):
    """``[entry]``: for role ``entry`` only."""

    listen: typing.Annotated[
        options.AddressOption, Doc("Where callers and trainers connect")
    ]
    admin: typing.Annotated[
        options.AddressOption, Doc("Where operators connect")
    ]
    threads: typing.Annotated[
        options.Count, Doc("Requests served at a time")
    ] = 64
    static_replicas: typing.Annotated[
        options.AddressList,
        Doc("Agents known without membership; for tests and first steps"),
    ] = ()
    documents: typing.Annotated[
        options.Path | None,
        Doc("Folder of service documents used in place of the stored ones"),
    ] = None
    operator_token: typing.Annotated[
        options.Secret | None,
        Doc("Token that operators must send; none needed if left out"),
    ] = None


class AgentSection(typing.NamedTuple):
    """``[agent]``: for role ``agent`` only."""

    listen: typing.Annotated[
        options.AddressOption, Doc("Where entries and other daemons connect")
    ]
    service: typing.Annotated[
        options.Name, Doc("Service that the backend server belongs to")
    ]
    backend: typing.Annotated[
        options.AddressOption, Doc("Address of the backend server")
    ]
    backend_kind: typing.Annotated[
        typing.Literal["model", "plain"], Doc("What the backend server is")
    ]
    checks_fencing: typing.Annotated[
        options.Flag,
        Doc("Whether the backend server refuses an old fencing number"),
    ] = False
    capacity: typing.Annotated[
        options.Count, Doc("Requests that the backend server runs at a time")
    ] = 8
    admin: typing.Annotated[
        options.AddressOption | None,
        Doc("Where `/metrics`, `/healthz` and `/readyz` are; none if absent"),
    ] = None


class PeersSection(typing.NamedTuple):
    """``[peers]``: links between daemons."""

    listen: typing.Annotated[
        options.AddressOption | None,
        Doc("Where other daemons connect; needed for role `entry`"),
    ] = None


class MembershipSection(typing.NamedTuple):
    """``[membership]``: how daemons find each other."""

    seeds: typing.Annotated[
        options.AddressList, Doc("Daemons to ask first for the others")
    ] = ()


class KeyValueSection(typing.NamedTuple):
    """``[keyvalue]``: the platform's key-value service."""

    endpoints: typing.Annotated[
        options.AddressList, Doc("Its addresses, tried in this order")
    ]
    timeout_s: typing.Annotated[
        options.Duration, Doc("Longest wait for one call, in seconds")
    ] = 2.0


class OutsideSection(typing.NamedTuple):
    """``[vmlist]``, ``[weightstore]``, ``[scorer]``: outside systems."""

    endpoints: typing.Annotated[
        options.AddressList, Doc("Its addresses; unused if left out")
    ] = ()
    timeout_s: typing.Annotated[
        options.Duration, Doc("Longest wait for one call, in seconds")
    ] = 5.0


class LimitsSection(typing.NamedTuple):
    """``[limits]``: bounds that protect this daemon."""

    max_body_bytes: typing.Annotated[
        options.Count, Doc("Longest request body, in bytes")
    ] = 1 << 20
    max_header_bytes: typing.Annotated[
        options.Count, Doc("Longest request head, in bytes")
    ] = 16 << 10
    max_streams: typing.Annotated[
        options.Count, Doc("Requests under way at a time")
    ] = 1024
    max_traces: typing.Annotated[
        options.Count, Doc("Requests that `explain` remembers")
    ] = 1024
    max_replica_links: typing.Annotated[
        options.Count, Doc("Replicas of each service that an entry links to")
    ] = 48


class LogSection(typing.NamedTuple):
    """``[log]``: where log messages go, as JSON lines."""

    file: typing.Annotated[
        options.Path | None, Doc("File to append to; stdout if left out")
    ] = None
