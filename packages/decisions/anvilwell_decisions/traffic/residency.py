"""Data residency: where a request may run, and where its body may be.

A route and an organisation may each list the regions in which their requests
may be served, cached and stored. This module alone decides what such lists
permit. A failure domain whose region is unknown is never permitted.
"""

from anvilwell_kernel import exceptions


def allowed_regions(*lists):
    """Return the regions that all lists allow, None for any region.

    Parameters
    ----------
    lists : frozenset of str or None
        The lists that apply; None is a list that allows any region.
    """
    given = [one for one in lists if one is not None]
    return frozenset.intersection(*given) if given else None


def union(lists):
    """Return what any of some lists allows, None for no limit.

    There is no limit without lists, or if one of them is None. The lists hold
    regions or failure domains.
    """
    known = list(lists)
    if not known or None in known:
        return None
    return frozenset().union(*known)


def check(route, organisation):
    """Refuse a request whose lists have no region in common.

    Parameters
    ----------
    route : facts.Route
        The route of the request.
    organisation : facts.Organisation or None
        The organisation that sends it, if any.

    Raises
    ------
    exceptions.RegionNotAllowed
        If no region is allowed. Waiting would not help, as only the operators
        can change the lists.
    """
    if organisation is None or organisation.allowed_regions is None:
        return
    allowed = allowed_regions(
        route.allowed_regions, organisation.allowed_regions
    )
    if not allowed:
        raise exceptions.RegionNotAllowed(
            f"no region is allowed both by route {route.name} and by "
            f"organisation {organisation.name}"
        )


class Bounds:
    """What the lists of one request permit, as seen from one VM.

    Parameters
    ----------
    allowed : frozenset of str
        The allowed regions.
    regions : regions.Regions
        The regions of all failure domains.
    """

    def __init__(self, allowed, regions):
        self._allowed = allowed
        self._regions = regions
        # The failure domains in which the request may run.
        self.domains = regions.domains(allowed)

    @property
    def may_own(self):
        """Whether this VM may own a batch with these lists."""
        return self._regions.own in self._allowed

    def may_run(self, failure_domain):
        """Return whether replicas of a failure domain may run the request."""
        return failure_domain in self.domains

    def may_hold(self, failure_domain, is_callers_entry=False):
        """Return whether a VM may be sent the body or a text of the request.

        Parameters
        ----------
        failure_domain : str
            Failure domain of that VM.
        is_callers_entry : bool
            Whether the caller itself is connected to this VM. The region of
            this VM is then permitted as well.
        """
        if failure_domain in self.domains:
            return True
        region = self._regions.region(failure_domain)
        is_own = region is not None and region == self._regions.own
        return is_callers_entry and is_own

    def owners(self, domains_by_vm):
        """Return the VMs that may own a batch with these lists, as a set."""
        return {
            vm_id
            for vm_id, failure_domain in domains_by_vm.items()
            if failure_domain in self.domains
        }
