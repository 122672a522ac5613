"""Neighbour graph of several hashed rings: a low-degree expander."""

import bisect
import itertools

import xxhash

RINGS = 4
# Members searched on a ring for one in another failure domain.
MAX_WALK = 256


class Rings:
    """Derives each member's neighbours from the set of members only.

    Each ring orders the members by a hash of their id with the ring's own
    seed. A member sends heartbeats to its successor on each ring. The union
    of a few random rings is an expander, so a change reaches all members in
    O(log n) hops, and a join or death changes only the adjacent edges.
    Adding or removing a member costs O(log n) comparisons.
    """

    def __init__(self):
        self._rings = [[] for _ in range(RINGS)]
        self._domains_by_id = {}

    def __contains__(self, vm_id):
        return vm_id in self._domains_by_id

    def __len__(self):
        return len(self._domains_by_id)

    def add(self, vm_id, failure_domain):
        """Add a member that is not on the rings yet."""
        self._domains_by_id[vm_id] = failure_domain
        for seed, ring in enumerate(self._rings):
            bisect.insort(ring, _position(vm_id, seed))

    def remove(self, vm_id):
        """Remove a member that is on the rings."""
        del self._domains_by_id[vm_id]
        for seed, ring in enumerate(self._rings):
            del ring[bisect.bisect_left(ring, _position(vm_id, seed))]

    def successors(self, vm_id):
        """Return the ids to send heartbeats to.

        At least one of them is in another failure domain, if there is one.
        """
        found = dict.fromkeys(self._next_on_rings(vm_id, 1))
        found.pop(vm_id, None)
        own_domain = self._domains_by_id[vm_id]
        if found and all(self._domains_by_id[v] == own_domain for v in found):
            found.update(
                dict.fromkeys(self._next_in_other_domain(vm_id, own_domain))
            )
        return list(found)

    def predecessors(self, vm_id):
        """Return the ids that send heartbeats to `vm_id`."""
        found = dict.fromkeys(self._next_on_rings(vm_id, -1))
        found.pop(vm_id, None)
        return list(found)

    def _next_on_rings(self, vm_id, step):
        for seed, ring in enumerate(self._rings):
            index = bisect.bisect_left(ring, _position(vm_id, seed))
            yield ring[(index + step) % len(ring)][1]

    def _next_in_other_domain(self, vm_id, own_domain):
        ring = self._rings[0]
        start = bisect.bisect_left(ring, _position(vm_id, 0)) + 1
        steps = range(start, start + min(len(ring), MAX_WALK))
        ids = (ring[step % len(ring)][1] for step in steps)
        others = (v for v in ids if self._domains_by_id[v] != own_domain)
        return itertools.islice(others, 1)


def _position(vm_id, seed):
    return (xxhash.xxh64_intdigest(vm_id.encode(), seed=seed), vm_id)
