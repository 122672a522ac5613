"""The size of a fleet: the two-year target and its budget."""

import typing

DAY_S = 86_400.0


class Fleet(typing.NamedTuple):
    """The size of a fleet and its peak load.

    Attributes
    ----------
    entries : int
        Daemons that face callers.
    replicas : int
        Replicas of model engines; each has one agent.
    accelerators : int
        Accelerators in all replicas.
    requests_s, tokens_s : float
        Requests and generated tokens a second.
    trainers, samples_step : int
        Number of training runs, and of samples in each of their steps.
    step_s : float
        Seconds within which all samples of a step must be complete.
    weights_s, swap_s : float
        Seconds between weight versions, and until a version runs everywhere.
    changes_day : float
        Configuration changes a day.
    spread_s : float
        Seconds until a change is in force everywhere.
    regions, failure_domains, services : int
        Numbers of each.
    failures_day, replaced_day : float
        VMs a day that fail, and that are restarted or replaced.
    body_bytes : int
        Mean size of a request body; an assumption.
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
        """All daemons if agents run in processes of their own."""
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
    """The resources that a daemon may use for control traffic."""

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

    The regions, failure domains, step size and times are not scaled.
    """
    return fleet._replace(
        **{name: getattr(fleet, name) * factor for name in _GROWING}
    )
