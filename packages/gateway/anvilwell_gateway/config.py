"""The schema of a gateway process's settings."""

import typing

import typing_extensions

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import options
from anvilwell_kernel.config import problem as problems

Doc = typing_extensions.Doc


class DaemonSection(typing.NamedTuple):
    """``[daemon]``: identity, location and resources of this process."""

    vm_id: typing.Annotated[options.Name, Doc("Id of this VM")]
    failure_domain: typing.Annotated[
        options.Name, Doc("Failure domain of this VM")
    ]
    cores: typing.Annotated[
        options.Rate, Doc("CPU capacity of this VM, in multiples of one core")
    ] = 1.0
    core_share: typing.Annotated[
        options.Share, Doc("Share of that CPU capacity that this VM may use")
    ] = 1.0
    memory_mb: typing.Annotated[
        options.CountOrZero,
        Doc("Memory of this VM, in megabytes; 0 if unknown"),
    ] = 0
    link_mbps: typing.Annotated[
        options.Rate,
        Doc("Bandwidth of its network link, in Mbit/s; 0 if unknown"),
    ] = 0.0
    drain_limit_s: typing.Annotated[
        options.Duration,
        Doc("Longest wait at shutdown for requests in flight, in seconds"),
    ] = 6.9


class KeyValueSection(typing.NamedTuple):
    """``[keyvalue]``: the platform's key-value service."""

    endpoint: typing.Annotated[
        options.AddressOption, Doc("Address of the service")
    ]
    timeout_s: typing.Annotated[
        options.Duration, Doc("Longest wait for one call, in seconds")
    ] = 0.8


class EntrySection(typing.NamedTuple):
    """``[entry]``: for role ``entry`` only."""

    listen: typing.Annotated[
        options.AddressOption,
        Doc("Address for the connections of callers and trainers"),
    ]
    ready: typing.Annotated[
        options.AddressOption,
        Doc("Address of the readiness check for the balancer"),
    ]
    peers: typing.Annotated[
        options.AddressOption, Doc("Address for calls from other VMs")
    ]


class AgentSection(typing.NamedTuple):
    """``[agent]``: for role ``agent`` only."""

    backend: typing.Annotated[
        options.AddressOption,
        Doc("Address of the backend server on the same VM"),
    ]
    service: typing.Annotated[
        options.Name, Doc("Service that the backend server belongs to")
    ]


class OrganisationsSection(typing.NamedTuple):
    """``[organisations]``: how an entry checks the keys of organisations."""

    strict_revocation: typing.Annotated[
        options.Flag,
        Doc("Whether to refuse calls with keys while keys can't be confirmed"),
    ] = False
    revocation_limit_s: typing.Annotated[
        options.Duration,
        Doc("Longest time that a revoked key is still accepted, in seconds"),
    ] = 5.0


class UsageSection(typing.NamedTuple):
    """``[usage]``: usage reports by organisation; off without this section."""

    endpoint: typing.Annotated[
        options.AddressOption,
        Doc("Address at which the platform receives reports"),
    ]
    window_s: typing.Annotated[
        options.Duration, Doc("Length of a usage window, in seconds")
    ] = 5.0
    late_s: typing.Annotated[
        options.Duration,
        Doc("Time after a window's end when its report is due, in seconds"),
    ] = 10.0
    turn_s: typing.Annotated[
        options.Duration,
        Doc("Least time between reports of successive holders, in seconds"),
    ] = 3.0


class ColdReplicasSection(typing.NamedTuple):
    """``[cold_replicas]``: limit on requests to replicas that are cold.

    Applies to services whose configuration states a rate for cold replicas.
    """

    rate_factor: typing.Annotated[
        options.Rate,
        Doc("Allowed multiple of a service's rate for cold replicas"),
    ] = 1.0
    extra_requests: typing.Annotated[
        options.CountOrZero,
        Doc("Requests allowed beyond that in any second"),
    ] = 0


class EvacuationSection(typing.NamedTuple):
    """``[evacuation]``: operators may evacuate failure domains.

    Evacuations are ignored without this section.
    """

    limit_s: typing.Annotated[
        options.Duration,
        Doc("Time after which no request may reach the replicas, in seconds"),
    ]


class MetricsSection(typing.NamedTuple):
    """``[metrics]``: the metrics page of this process."""

    listen: typing.Annotated[options.AddressOption, Doc("Address of the page")]
    path: typing.Annotated[str, Doc("Path of the page")] = "/metrics"


class Settings(typing.NamedTuple):
    """All validated settings of a gateway process."""

    daemon: DaemonSection
    keyvalue: KeyValueSection
    metrics: MetricsSection
    entry: EntrySection | None = None
    agent: AgentSection | None = None
    organisations: OrganisationsSection = OrganisationsSection()
    usage: UsageSection | None = None
    cold_replicas: ColdReplicasSection = ColdReplicasSection()
    evacuation: EvacuationSection | None = None
    # The region of each failure domain.
    regions: dict[options.Name, options.Name] | None = None


def load(path, role):
    """Return the `Settings` in the file at `path` for `role`.

    Raises
    ------
    exceptions.ConfigurationError
        If the file has problems; lists all of them.
    """

    def check(sections_by_name):
        if role in sections_by_name and sections_by_name[role] is None:
            what = f"missing, but the role is {role}"
            yield problems.Problem("", role, "", what, f"add [{role}]")

    return loader.load(path, Settings, (check, _check_regions))


def _check_regions(sections_by_name):
    """Yield a problem if this VM's failure domain has no region."""
    regions = sections_by_name.get("regions")
    daemon = sections_by_name.get("daemon")
    if regions and daemon and daemon.failure_domain not in regions:
        yield problems.Problem(
            "",
            "regions",
            daemon.failure_domain,
            "missing, but it is the failure domain of this VM",
            f"add {daemon.failure_domain} = the name of its region",
        )
