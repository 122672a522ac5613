"""Limits organisations to their shares while a service lacks slots."""

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
    """Admits live calls by the `fair_shares.FairShares` of their service.

    All calls are admitted if the configuration has no organisations.

    Parameters
    ----------
    configuration : configuration.ConfigurationFollower
        The organisations and priorities in force.
    directory : directory.Directory
        The replicas of each service.
    """

    def __init__(self, configuration, directory):
        self._configuration = configuration
        self._directory = directory
        self._shares_by_service = collections.defaultdict(
            fair_shares.FairShares
        )
        # The configuration for which the highest priority was computed.
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
        """Count a call against its organisation's share while it runs.

        Parameters
        ----------
        attempt : attempts.Attempts
            The call.

        Raises
        ------
        exceptions.Refused
            If the service lacks slots and the organisation uses its share.
        """
        if not self._configuration.organisations.are_known:
            yield
            return
        service_shares = self._shares_by_service[attempt.service]
        now = asyncio.get_running_loop().time()
        weight = self._weight(attempt.priority)
        if not service_shares.begin(attempt.organisation, now, weight):
            raise exceptions.Refused(
                "the organisation uses its whole share of the slots",
                reason=reasons.Refusal.OVER_SHARE,
            )
        is_answered = False
        try:
            yield
            is_answered = True
        finally:
            service_shares.end(attempt.organisation, is_answered)

    def record_refusal(self, replica):
        """Record that a replica refused a call for lack of capacity."""
        if not self._configuration.organisations.are_known:
            return
        service_shares = self._shares_by_service[replica.service]
        was_short = service_shares.limit is not None
        service_shares.refused(
            replica.replica_id,
            len(self._directory.usable(replica.service)),
            asyncio.get_running_loop().time(),
        )
        if service_shares.limit is not None and not was_short:
            _LOG.log(
                "places-short",
                service=replica.service,
                under_way=service_shares.total,
                limit=round(service_shares.limit, 1),
            )
