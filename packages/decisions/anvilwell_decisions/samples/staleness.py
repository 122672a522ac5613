"""How old a sample is, and when work has become too old to finish."""

from anvilwell_decisions.samples import versions


def age(sample_versions, trainer_version):
    """Return how many versions the oldest token is behind the trainer."""
    oldest = min(map(versions.ordinal, sample_versions))
    return max(0, trainer_version - oldest)


def is_over_age(sample_versions, trainer_version, bound):
    """Return whether a sample may not be delivered to the trainer."""
    return age(sample_versions, trainer_version) > bound


def oldest_start(trainer_version, bound):
    """Return the oldest version on which work may begin now."""
    return trainer_version - bound


def will_be_over_age(oldest, expected_version, bound):
    """Return whether work will be too old when it can be delivered.

    Parameters
    ----------
    oldest : int
        The oldest version in the work so far.
    expected_version : int
        The version that the trainer will have at delivery.
    """
    return expected_version - oldest > bound
