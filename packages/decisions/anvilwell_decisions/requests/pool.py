"""Replicas that can be drawn at random under constraints in O(1)."""


class RandomSet:
    """A set with O(1) insertion, removal and random draw."""

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
        """Add `item`, once."""
        if item in self._positions_by_item:
            return
        self._positions_by_item[item] = len(self._items)
        self._items.append(item)

    def discard(self, item):
        """Remove `item` if it is there."""
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
        """Return the item at `number`, counted round."""
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
        """Add a replica, or replace what is known of it."""
        self.remove_replica(facts.replica_id)
        self.facts_by_id[facts.replica_id] = facts
        for constraint in _constraints(facts):
            members = self._sets_by_constraint.setdefault(
                constraint, RandomSet()
            )
            members.add(facts.replica_id)

    def remove_replica(self, replica_id):
        """Remove a replica if it is there; return what was known."""
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
        """Return the `DrawSet` of replicas that meet the constraints."""
        constraint = (request.version, request.adapter)
        return self._sets_by_constraint.get(constraint, self._empty_set)

    def is_eligible(self, replica_id, request):
        """Return whether a replica may take `request`."""
        return (
            replica_id in self.eligible(request)
            and replica_id not in request.excluded
        )


def _constraints(facts):
    versions = ("", *facts.versions)
    adapters = ("", *facts.adapters)
    return {(v, a) for v in versions for a in adapters}
