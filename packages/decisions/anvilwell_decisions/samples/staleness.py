"""How old a sample is, and when work has become too old to finish."""

import typing

from anvilwell_decisions.samples import versions


class Doomed(typing.NamedTuple):
    """An attempt that would be too old when it could be delivered."""

    sample: object
    oldest: int


def age(sample_versions, trainer_version):
    """Return how many versions the oldest token is behind the trainer."""
    oldest = min(map(versions.ordinal, sample_versions))
    return max(0, trainer_version - oldest)


def is_over_age(sample_versions, trainer_version, bound):
    """Return whether a sample may not be delivered to the trainer."""
    return age(sample_versions, trainer_version) > bound


def may_start(engine_version, trainer_version, bound):
    """Return whether work begun now on an engine is within `bound`."""
    return trainer_version - engine_version <= bound


def doomed(oldest_by_sample, expected_version, bound):
    """Return the attempts to cancel now, so that they can be redone.

    Parameters
    ----------
    oldest_by_sample : dict
        Oldest version in each running attempt, by sample.
    expected_version : int
        The version that the trainer will have at delivery.
    """
    return [
        Doomed(sample, oldest)
        for sample, oldest in oldest_by_sample.items()
        if expected_version - oldest > bound
    ]
