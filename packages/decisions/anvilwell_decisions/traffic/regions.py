"""Regions: which failure domain lies in which, and how far away it is."""

import enum


class Distance(enum.IntEnum):
    """How far away another failure domain is; lower values are closer."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Regions:
    """The regions of all failure domains, as seen from one VM.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    regions_by_domain : dict of str to str, optional
        Region of each failure domain. Without it, all failure domains count
        as parts of one region.
    """

    def __init__(self, failure_domain, regions_by_domain=None):
        self._failure_domain = failure_domain
        self._regions_by_domain = regions_by_domain or {}

    @property
    def own(self):
        """The region of this VM, None if it is unknown."""
        return self.region(self._failure_domain)

    @property
    def has_several(self):
        """Whether the deployment spans more than one region."""
        return len(set(self._regions_by_domain.values())) > 1

    def region(self, failure_domain):
        """Return the region of a failure domain, None if it is unknown."""
        return self._regions_by_domain.get(failure_domain)

    def domains(self, names):
        """Return the failure domains in the named regions, as a set."""
        return frozenset(
            failure_domain
            for failure_domain, region in self._regions_by_domain.items()
            if region in names
        )

    def distance(self, failure_domain):
        """Return the `Distance` from this VM to a failure domain."""
        return self.distance_between(self._failure_domain, failure_domain)

    def distance_between(self, first_domain, second_domain):
        """Return the `Distance` between two failure domains."""
        if first_domain == second_domain:
            return Distance.SAME_DOMAIN
        if self.region(first_domain) == self.region(second_domain):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
