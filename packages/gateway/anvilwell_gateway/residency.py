"""The allowed regions in force, for requests, batches and their VMs."""

import functools

from anvilwell_decisions.traffic import organisations
from anvilwell_decisions.traffic import residency
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway import store_paths
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class ResidencyRules:
    """Applies the lists of the configuration in force.

    While no route and no organisation has a list, ``is_active`` is false and
    every request is unbounded.

    Parameters
    ----------
    configuration : configuration.ConfigurationFollower
        The routes and organisations in force.
    regions : regions.Regions
        The regions of all failure domains.
    cluster_state : cluster_state.ClusterState
        The live VMs with their failure domains.
    """

    def __init__(self, configuration, regions, cluster_state):
        self._configuration = configuration
        self._regions = regions
        self._cluster_state = cluster_state
        self._listeners = []
        self._lists = ()
        self._lists_by_organisation = {}
        # Ids of stored batches begin with a prefix for their organisation.
        self._lists_by_id_prefix = {}
        self._bounds_by_regions = {}
        configuration.listen(self._update)

    @property
    def is_active(self):
        """Whether any list is in force."""
        return bool(self._lists)

    def listen(self, callback):
        """Call `callback` when the lists in force have changed."""
        self._listeners.append(callback)

    def _update(self):
        """Read the lists of a new configuration."""
        current = self._configuration.current
        lists_by_organisation = {
            one.name: one.allowed_regions
            for one in current.organisations
            if one.allowed_regions is not None
        }
        lists = (
            *(
                (route.host, route.path_prefix, route.allowed_regions)
                for route in current.routes
                if route.allowed_regions is not None
            ),
            *lists_by_organisation.items(),
        )
        if lists == self._lists:
            return
        self._lists = lists
        self._lists_by_organisation = lists_by_organisation
        self._lists_by_id_prefix = {
            organisations.owned_id(name, ""): one
            for name, one in lists_by_organisation.items()
        }
        _LOG.log(
            "regions-changed", configuration=current.version, lists=len(lists)
        )
        for callback in self._listeners:
            callback()

    def of_request(self, route, organisation):
        """Return the `residency.Bounds` of a request, None without a list.

        Parameters
        ----------
        route : facts.Route
            The route of the request; its list in force applies.
        organisation : str
            Name of the organisation that sends it, "" if none is known.
        """
        if not self.is_active:
            return None
        found = self._configuration.routes.find(route.host, route.path_prefix)
        return self._bounds(
            (found or route).allowed_regions,
            self._lists_by_organisation.get(organisation),
        )

    def of_routes(self, service):
        """Return the `residency.Bounds` common to a service's batches.

        None if any batch route allows any region.

        Parameters
        ----------
        service : str
            The gathering key of the routes.
        """
        if not self.is_active:
            return None
        return self._bounds(residency.union(self._lists_of_routes(service)))

    def of_submission(self, submission):
        """Return the `residency.Bounds` of a batch, None without a list."""
        if not self.is_active:
            return None
        return self._bounds(
            *self._route_lists(submission.host, submission.path),
            self._lists_by_organisation.get(submission.organisation),
        )

    def of_batch(self, batch_id, owner):
        """Return the `residency.Bounds` of a batch by its id and owner.

        The submission isn't needed, as this VM may not be allowed to read it.
        A batch that was accepted without any list in force doesn't name its
        route; the lists of all routes that it may have come by apply then.

        Parameters
        ----------
        batch_id : str
            The id under which the batch is stored.
        owner : records.Owner
            Its owner as stored.
        """
        if not self.is_active:
            return None
        if owner.location:
            host, slash, path = owner.location.partition("/")
            lists = self._route_lists(host, f"{slash}{path}")
        else:
            lists = self._lists_of_routes(owner.service)
        id_prefix = batch_id.removesuffix(organisations.unowned_id(batch_id))
        return self._bounds(*lists, self._lists_by_id_prefix.get(id_prefix))

    def _lists_of_routes(self, service):
        return [
            route.allowed_regions
            for route in self._configuration.current.routes
            if route.is_batch and all_homes.gathering_key(route) == service
        ]

    def _route_lists(self, host, path):
        route = self._configuration.routes.find(host, path)
        return () if route is None else (route.allowed_regions,)

    def _bounds(self, *lists):
        allowed = residency.allowed_regions(*lists)
        if allowed is None:
            return None
        known = self._bounds_by_regions.get(allowed)
        if known is None:
            known = residency.Bounds(allowed, self._regions)
            self._bounds_by_regions[allowed] = known
        return known

    def may_own(self, bounds):
        """Return whether this VM may own a batch with `bounds`."""
        return bounds is None or bounds.may_own

    def owners(self, bounds):
        """Return the live VMs that may own a batch with `bounds`, as a set."""
        domains_by_vm = self._cluster_state.domains_by_vm
        if bounds is None:
            return set(domains_by_vm)
        return bounds.owners(domains_by_vm)

    def relays_of_submission(self, submission):
        """Limit the peers that relay store calls for an owned batch.

        Returns a context manager. The limit follows the lists in force at
        each call, also in tasks that are started within the context.
        """
        # Tasks that outlive the batch, such as those of pooled connections,
        # keep the context; the items would stay in memory with them.
        located = submission._replace(items=())
        find_bounds = functools.partial(self.of_submission, located)
        return self._limited_relays(find_bounds)

    def relays_of_batch(self, batch_id, owner, is_callers_entry=False):
        """Limit the peers that relay store calls for a batch by its owner.

        Returns a context manager. With ``is_callers_entry`` a caller waits
        here for what the store returns.
        """
        find_bounds = functools.partial(self.of_batch, batch_id, owner)
        return self._limited_relays(find_bounds, is_callers_entry)

    def _limited_relays(self, find_bounds, is_callers_entry=False):
        def may_relay(vm_id):
            bounds = find_bounds()
            if bounds is None:
                return True
            failure_domain = self._cluster_state.domains_by_vm.get(vm_id)
            return bounds.may_hold(failure_domain, is_callers_entry)

        return store_paths.limited_relays(may_relay)
