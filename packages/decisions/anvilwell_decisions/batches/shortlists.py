"""Bounds how many replicas are compared for one item.

A large service has thousands of replicas that could take an item, and a
step has thousands of items. Each is compared with a few replicas, drawn at
random among those that could take it; of so many the best is nearly as
good as the best of all, and items spread by themselves.
"""

import collections
import itertools
import random

# Services of up to so many replicas are compared whole.
SHORTLIST_SIZE = 32


class _Shortlist:
    """Replicas that were drawn for items with the same requirement.

    ``is_complete`` tells that no others could take these items.
    """

    def __init__(self, candidates):
        self.candidates = candidates
        self.is_complete = len(candidates) < SHORTLIST_SIZE
        self.uses_left = SHORTLIST_SIZE


class Shortlists:
    """The replicas that are compared for the items of one moment."""

    def __init__(self):
        self._candidates = ()
        self._candidates_by_service = None
        self._shortlists_by_requirement = {}

    def set_candidates(self, candidates):
        """Take the `workers.Worker` of each replica."""
        self._candidates = candidates
        self._candidates_by_service = None
        self.clear()

    def clear(self):
        """Draw anew, as replicas may have become free."""
        self._shortlists_by_requirement = {}

    def find(self, service, requirement, can_start):
        """Return some of a service's replicas that may take an item.

        Parameters
        ----------
        service : str
            The service.
        requirement : tuple
            What the item has in common with those that the same replicas
            may take.
        can_start : callable
            Tells whether a replica may take it.
        """
        known = self._shortlists_by_requirement.get(requirement)
        if known is None or not known.uses_left:
            known = self._draw(service, requirement, can_start)
        able = list(filter(can_start, known.candidates))
        if not able and not known.is_complete:
            known = self._draw(service, requirement, can_start)
            able = known.candidates
        if not known.is_complete:
            known.uses_left -= 1
        return able

    def _draw(self, service, requirement, can_start):
        candidates = self._candidates_of(service)
        start = random.randrange(max(1, len(candidates)))
        in_turn = itertools.chain(
            itertools.islice(candidates, start, None),
            itertools.islice(candidates, start),
        )
        drawn = list(
            itertools.islice(filter(can_start, in_turn), SHORTLIST_SIZE)
        )
        self._shortlists_by_requirement[requirement] = _Shortlist(drawn)
        return self._shortlists_by_requirement[requirement]

    def _candidates_of(self, service):
        """Return a service's replicas in an order of chance."""
        if self._candidates_by_service is None:
            self._candidates_by_service = collections.defaultdict(list)
            for one in self._candidates:
                self._candidates_by_service[one.replica.service].append(one)
            for some in self._candidates_by_service.values():
                random.shuffle(some)
        return self._candidates_by_service[service]
