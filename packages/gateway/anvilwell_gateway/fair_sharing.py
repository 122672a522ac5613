"""Keeps the shares of organisations while a service is short of places."""

import asyncio
import collections
import contextlib

from anvilwell_decisions.requests import fair_shares
from anvilwell_decisions.requests import priority_weights
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class FairShareLimiter:
    """Lets live calls in by the `fair_shares.FairShares` of their service.

    Where the configuration knows no organisations nobody is kept back.

    Parameters
    ----------
    configuration : configuration.ConfigurationFollower
        Says whether there are organisations.
    directory : directory.Directory
        The replicas of each service.
    """

    def __init__(self, configuration, directory):
        self._configuration = configuration
        self._directory = directory
        self._shares_by_service = collections.defaultdict(
            fair_shares.FairShares
        )
        # The configuration that the highest priority was found in.
        self._priorities_of = None
        self._highest_priority = 0

    def _weight(self, priority):
        """Return the weight of a priority in the configuration in force."""
        current = self._configuration.current
        if current is not self._priorities_of:
            self._priorities_of = current
            self._highest_priority = priority_weights.highest_priority(current)
        return priority_weights.weight(priority, self._highest_priority)

    @contextlib.contextmanager
    def admit(self, attempt):
        """Count `attempt`, an `attempts.Attempts`, while it is under way.

        Raises
        ------
        exceptions.Refused
            If its organisation has its share of a service that is short.
        """
        if not self._configuration.organisations.are_known:
            yield
            return
        kept = self._shares_by_service[attempt.service]
        now = asyncio.get_running_loop().time()
        weight = self._weight(attempt.priority)
        if not kept.begin(attempt.organisation, now, weight):
            raise exceptions.Refused(
                "the organisation has its share of the places",
                reason=reasons.Refusal.OVER_SHARE,
            )
        is_answered = False
        try:
            yield
            is_answered = True
        finally:
            kept.end(attempt.organisation, is_answered)

    def record_refusal(self, replica):
        """Take in that a replica had no room for a call."""
        if not self._configuration.organisations.are_known:
            return
        kept = self._shares_by_service[replica.service]
        was_short = kept.limit is not None
        kept.refused(
            replica.replica_id,
            len(self._directory.usable(replica.service)),
            asyncio.get_running_loop().time(),
        )
        if kept.limit is not None and not was_short:
            _LOG.log(
                "places-short",
                service=replica.service,
                under_way=kept.total,
                limit=round(kept.limit, 1),
            )
