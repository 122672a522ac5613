"""Computes how stale samples are, and which work will be too stale."""

from anvilwell_decisions.samples import versions


def age(sample_versions, trainer_version):
    """Return how many versions the oldest token is behind the trainer's."""
    oldest = min(map(versions.ordinal, sample_versions))
    return max(0, trainer_version - oldest)


def is_over_age(sample_versions, trainer_version, bound):
    """Return whether a sample is too stale to be delivered."""
    return age(sample_versions, trainer_version) > bound


def oldest_start(trainer_version, bound):
    """Return the oldest weight version with which work may start now."""
    return trainer_version - bound


def will_be_over_age(oldest, expected_version, bound):
    """Return whether work will be too stale once it can be delivered.

    Parameters
    ----------
    oldest : int
        The oldest weight version in the work so far.
    expected_version : int
        The weight version that the trainer will have at delivery.
    """
    return expected_version - oldest > bound
