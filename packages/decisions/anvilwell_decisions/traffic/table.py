"""Finds the route of a request and the service that handles it."""

import collections


class RouteTable:
    """The routes of one configuration, by host and longest path prefix."""

    def __init__(self, routes=()):
        by_host = collections.defaultdict(list)
        for route in routes:
            by_host[route.host.lower()].append(route)
        self._routes_by_host = {
            host: sorted(found, key=_longest_first)
            for host, found in by_host.items()
        }

    def find(self, host, path):
        """Return the `facts.Route` of a request, or None."""
        routes = self._routes_by_host.get(host.lower(), ())
        matching = (r for r in routes if path.startswith(r.path_prefix))
        return next(matching, None)

    def has_open_batches(self, host):
        """Return whether any batch route of `host` needs no key."""
        routes = self._routes_by_host.get(host.lower(), ())
        return any(route.is_batch and route.is_open for route in routes)


def _longest_first(route):
    return -len(route.path_prefix)


def choose_service(route, rng):
    """Return the name of a service, drawn by the route's weights."""
    names = [target.service for target in route.targets]
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]


def routes_to(route, service):
    """Return whether `route` sends requests to `service` now."""
    return any(
        target.service == service and target.weight > 0
        for target in route.targets
    )


class NewestConfiguration:
    """Keeps the newest configuration and rejects older versions."""

    def __init__(self):
        self.configuration = None

    def take(self, configuration):
        """Keep `configuration` if it is newer; return whether it is."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        return True
