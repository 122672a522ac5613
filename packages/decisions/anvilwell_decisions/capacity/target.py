"""Sizes of a fleet: the two-year target, and today's deployments."""

import typing

DAY_S = 86_400.0


class Fleet(typing.NamedTuple):
    """What a fleet has to carry at its peak.

    Attributes
    ----------
    entries : int
        Daemons before the replicas.
    replicas : int
        Model engine replicas; one agent stands beside each.
    accelerators : int
        Accelerators of all replicas.
    requests_s, tokens_s : float
        Requests and generated tokens a second.
    trainers, samples_step : int
        Training runs, and samples in a step of each.
    step_s : float
        Seconds within which a step's samples are whole.
    weights_s, swap_s : float
        Seconds between weight versions, and for one to be everywhere.
    changes_day : float
        Configuration changes a day.
    spread_s : float
        Seconds in which a change is in force everywhere.
    regions, failure_domains, services : int
    failures_day, replaced_day : float
        VMs that fail, and that are restarted or replaced, a day.
    body_bytes : int
        Mean bytes of a request body; our assumption.
    """

    entries: int
    replicas: int
    accelerators: int
    requests_s: float
    tokens_s: float
    trainers: int
    samples_step: int
    step_s: float
    weights_s: float
    swap_s: float
    changes_day: float
    spread_s: float
    regions: int
    failure_domains: int
    services: int
    failures_day: float
    replaced_day: float
    body_bytes: int

    @property
    def daemons(self):
        """All processes of the system, agents counted besides entries."""
        return self.entries + self.replicas

    @property
    def changes_s(self):
        """Configuration changes a second."""
        return self.changes_day / DAY_S

    @property
    def samples_s(self):
        """Samples recorded a second by all runs."""
        return self.trainers * self.samples_step / self.step_s


class Budget(typing.NamedTuple):
    """What a daemon may spend on control."""

    cpu_share: float
    memory_bytes: int
    bytes_s: float


TARGET = Fleet(
    entries=850,
    replicas=5_100,
    accelerators=41_000,
    requests_s=48_000,
    tokens_s=23e6,
    trainers=9,
    samples_step=2_048,
    step_s=39 * 60,
    weights_s=28 * 60,
    swap_s=25,
    changes_day=16_000,
    spread_s=3,
    regions=5,
    failure_domains=13,
    services=64,
    failures_day=52,
    replaced_day=1_300,
    body_bytes=2_048,
)
BUDGET = Budget(cpu_share=0.025, memory_bytes=256 << 20, bytes_s=9_000)

_GROWING = (
    "entries",
    "replicas",
    "accelerators",
    "requests_s",
    "tokens_s",
    "trainers",
    "changes_day",
    "services",
    "failures_day",
    "replaced_day",
)


def scaled(fleet, factor):
    """Return `fleet` with its daemons and load `factor` times as large.

    Regions, failure domains, the size of a step and the times stay.
    """
    return fleet._replace(
        **{name: getattr(fleet, name) * factor for name in _GROWING}
    )
