"""Limits how many replicas are compared for one item.

A large service has thousands of replicas that could run an item, and a step
has thousands of items. Each item is compared with a few replicas, drawn at
random among those that could run it. The best of these is nearly as good as
the best of all, and items spread evenly without further effort.
"""

import collections
import itertools
import random

# Number of replicas drawn for a shortlist. If fewer replicas of a service can
# run an item, all of these are compared.
SHORTLIST_SIZE = 32


class _Shortlist:
    """Replicas that were drawn for items with the same requirement.

    ``is_complete`` is True if no other replicas could run these items.
    """

    def __init__(self, candidates):
        self.candidates = candidates
        self.is_complete = len(candidates) < SHORTLIST_SIZE
        self.uses_left = SHORTLIST_SIZE


class Shortlists:
    """The shortlists of one round of assignments."""

    def __init__(self):
        self._candidates = ()
        self._candidates_by_service = None
        self._shortlists_by_requirement = {}

    def set_candidates(self, candidates):
        """Set the `workers.Worker`s of all replicas."""
        self._candidates = candidates
        self._candidates_by_service = None
        self.clear()

    def clear(self):
        """Drop all shortlists, since replicas may have become free."""
        self._shortlists_by_requirement = {}

    def find(self, service, requirement, can_start):
        """Return some of a service's replicas that can run an item.

        Parameters
        ----------
        service : str
            The service.
        requirement : tuple
            Key that is the same for all items that the same replicas can run.
        can_start : callable
            Returns whether a replica can run the item.
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
        """Return a service's replicas in random order."""
        if self._candidates_by_service is None:
            self._candidates_by_service = collections.defaultdict(list)
            for one in self._candidates:
                self._candidates_by_service[one.replica.service].append(one)
            for some in self._candidates_by_service.values():
                random.shuffle(some)
        return self._candidates_by_service[service]
