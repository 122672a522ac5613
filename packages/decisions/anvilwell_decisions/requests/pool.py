"""Replicas indexed by constraints, for random draws in O(1)."""


class RandomSet:
    """A set with insertion, removal and random draw in O(1)."""

    def __init__(self):
        self._items = []
        self._positions_by_item = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def __contains__(self, item):
        return item in self._positions_by_item

    def add(self, item):
        """Add `item` unless it is present."""
        if item in self._positions_by_item:
            return
        self._positions_by_item[item] = len(self._items)
        self._items.append(item)

    def discard(self, item):
        """Remove `item` if it is present."""
        position = self._positions_by_item.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions_by_item[last] = position

    def draw(self, rng):
        """Return a random item; the set must not be empty."""
        return self._items[rng.randrange(len(self._items))]

    def item_at(self, number):
        """Return the item at index `number`, modulo the size."""
        return self._items[number % len(self._items)]


class Pool:
    """The replicas of one service, indexed by what they have loaded."""

    def __init__(self):
        self.facts_by_id = {}
        self._sets_by_constraint = {}
        self._empty_set = RandomSet()

    def __len__(self):
        return len(self.facts_by_id)

    def add_replica(self, facts):
        """Add a replica, or replace its facts."""
        self.remove_replica(facts.replica_id)
        self.facts_by_id[facts.replica_id] = facts
        for constraint in _constraints(facts):
            members = self._sets_by_constraint.setdefault(
                constraint, RandomSet()
            )
            members.add(facts.replica_id)

    def remove_replica(self, replica_id):
        """Remove a replica; return its facts, or None if it is absent."""
        facts = self.facts_by_id.pop(replica_id, None)
        if facts is None:
            return None
        for constraint in _constraints(facts):
            members = self._sets_by_constraint[constraint]
            members.discard(replica_id)
            if not members:
                del self._sets_by_constraint[constraint]
        return facts

    def eligible(self, request):
        """Return the `RandomSet` of replicas that meet the constraints."""
        constraint = (request.version, request.adapter)
        return self._sets_by_constraint.get(constraint, self._empty_set)

    def is_eligible(self, replica_id, request):
        """Return whether a replica may be sent `request`."""
        return (
            replica_id in self.eligible(request)
            and replica_id not in request.excluded
        )


def _constraints(facts):
    """Return the (version, adapter) pairs that a replica satisfies."""
    versions = ("", *facts.versions)
    adapters = ("", *facts.adapters)
    return {(v, a) for v in versions for a in adapters}
