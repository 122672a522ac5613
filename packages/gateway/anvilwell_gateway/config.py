"""The settings of a gateway process as a declared schema."""

import typing

import typing_extensions

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import options
from anvilwell_kernel.config import problem as problems

Doc = typing_extensions.Doc


class DaemonSection(typing.NamedTuple):
    """``[daemon]``: who and where this process is."""

    vm_id: typing.Annotated[options.Name, Doc("This VM's id")]
    failure_domain: typing.Annotated[
        options.Name, Doc("Failure domain of this VM")
    ]
    cores: typing.Annotated[
        options.Rate, Doc("How many times one core's speed this VM has")
    ] = 1.0
    core_share: typing.Annotated[
        options.Share, Doc("Share of its cores that is this VM's")
    ] = 1.0
    memory_mb: typing.Annotated[
        options.CountOrZero,
        Doc("Memory of this VM, in megabytes; 0 if that is not known"),
    ] = 0
    link_mbps: typing.Annotated[
        options.Rate, Doc("What its link carries, in Mbit/s; 0: not known")
    ] = 0.0
    drain_limit_s: typing.Annotated[
        options.Duration,
        Doc("Longest wait at shutdown for requests in flight, in seconds"),
    ] = 6.9


class KeyValueSection(typing.NamedTuple):
    """``[keyvalue]``: the platform's key-value service."""

    endpoint: typing.Annotated[options.AddressOption, Doc("Its address")]
    timeout_s: typing.Annotated[
        options.Duration, Doc("Longest wait for one call, in seconds")
    ] = 0.8


class EntrySection(typing.NamedTuple):
    """``[entry]``: for role ``entry`` only."""

    listen: typing.Annotated[
        options.AddressOption, Doc("Where callers and trainers connect")
    ]
    ready: typing.Annotated[
        options.AddressOption, Doc("Where the balancer asks for readiness")
    ]
    peers: typing.Annotated[
        options.AddressOption, Doc("Where other VMs ask it for help")
    ]


class AgentSection(typing.NamedTuple):
    """``[agent]``: for role ``agent`` only."""

    backend: typing.Annotated[
        options.AddressOption, Doc("Address of the backend server beside it")
    ]
    service: typing.Annotated[
        options.Name, Doc("Service that the backend server belongs to")
    ]


class OrganisationsSection(typing.NamedTuple):
    """``[organisations]``: how keys are checked at an entry."""

    strict_revocation: typing.Annotated[
        options.Flag,
        Doc("Whether calls with keys are refused while none can be confirmed"),
    ] = False
    revocation_limit_s: typing.Annotated[
        options.Duration,
        Doc("Longest use of a key that was taken away, in seconds"),
    ] = 5.0


class UsageSection(typing.NamedTuple):
    """``[usage]``: reports of what organisations use, if there are any."""

    endpoint: typing.Annotated[
        options.AddressOption, Doc("Where the platform takes reports")
    ]
    window_s: typing.Annotated[
        options.Duration, Doc("Length of a window, in seconds")
    ] = 5.0
    late_s: typing.Annotated[
        options.Duration,
        Doc("When a window's report is due after its end, in seconds"),
    ] = 10.0
    turn_s: typing.Annotated[
        options.Duration,
        Doc("Least time between acts of holders in turn, in seconds"),
    ] = 3.0


class MetricsSection(typing.NamedTuple):
    """``[metrics]``: where a collector reads this process's metrics."""

    listen: typing.Annotated[options.AddressOption, Doc("Its address")]
    path: typing.Annotated[str, Doc("Path of the page")] = "/metrics"


class Settings(typing.NamedTuple):
    """All settings of a gateway process, checked."""

    daemon: DaemonSection
    keyvalue: KeyValueSection
    metrics: MetricsSection
    entry: EntrySection | None = None
    agent: AgentSection | None = None
    organisations: OrganisationsSection = OrganisationsSection()
    usage: UsageSection | None = None


def load(path, role):
    """Return the `Settings` in the file at `path` for `role`.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem found.
    """

    def check(sections_by_name):
        if role in sections_by_name and sections_by_name[role] is None:
            what = f"missing, but the role is {role}"
            yield problems.Problem("", role, "", what, f"add [{role}]")

    return loader.load(path, Settings, (check,))
