"""Combines the counting, notification and reporting of usage."""

import abc

from anvilwell_gateway.duties import duty_election
from anvilwell_gateway.duties import usage_notifier
from anvilwell_gateway.duties import window_reporter

DUTY = "usage"
# Path at which the holder receives the counts of other entries.
TARGET = usage_notifier.TARGET


class UsageAccounting(abc.ABC):
    """An entry's part in counting and reporting usage."""

    holder = None

    @abc.abstractmethod
    def count_request(self, organisation, at):
        """Count a request that a replica started at loop time `at`."""

    @abc.abstractmethod
    def start(self):
        """Start the election, the notifications and the reports."""

    @abc.abstractmethod
    async def release_duty(self):
        """Release the duty to report; go on counting and sending counts."""

    @abc.abstractmethod
    async def stop(self):
        """Send the last counts to the holder and stop."""

    @abc.abstractmethod
    async def answer(self, request, responder):
        """Accept the counts that another entry sends."""

    @abc.abstractmethod
    def gauge_values(self):
        """Return the current `measures.GaugeValue` of each gauge."""


class NoUsageAccounting(UsageAccounting):
    """Usage accounting of a deployment without usage reports."""

    def count_request(self, organisation, at):
        """Do nothing."""

    def start(self):
        """Do nothing."""

    async def release_duty(self):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    async def answer(self, request, responder):
        """Respond with 404, as this entry accepts no counts."""
        await responder.send(404)

    def gauge_values(self):
        """Return no gauges."""
        return []


class ReportedUsageAccounting(UsageAccounting):
    """Counts requests; sends the counts to the holder or reports as holder."""

    def __init__(self, duty, reporter, notifier):
        self._duty = duty
        self._reporter = reporter
        self._notifier = notifier

    @classmethod
    def from_config(cls, settings, store, presence, cluster_state, platform):
        """Return the accounting that a `config.UsageSection` sets up."""
        duty = duty_election.Duty(
            DUTY, store, presence, cluster_state, settings.turn_s
        )
        reporter = window_reporter.UsageReporter(
            store, presence, cluster_state, duty, platform, settings
        )
        notifier = usage_notifier.UsageNotifier(
            presence, cluster_state, duty, reporter.accept_counts, settings
        )
        return cls(duty, reporter, notifier)

    @property
    def holder(self):
        """The id of the VM that reports usage, None if unknown."""
        return self._duty.holder

    def count_request(self, organisation, at):
        """Count a request that a replica started at loop time `at`."""
        self._notifier.count_request(organisation, at)

    def start(self):
        """Start the election, the notifications and the reports."""
        self._duty.start()
        self._reporter.start()
        self._notifier.start()

    async def release_duty(self):
        """Release the duty to report; go on counting and sending counts."""
        await self._duty.stop()
        await self._reporter.stop()

    async def stop(self):
        """Send the last counts to the holder and stop."""
        await self._notifier.stop()
        await self.release_duty()

    async def answer(self, request, responder):
        """Accept the counts that another entry sends."""
        counts = usage_notifier.decode_counts(request.body)
        true_time = self._reporter.accept_counts(counts)
        await responder.send(
            200, (), usage_notifier.encode_true_time(true_time)
        )

    def gauge_values(self):
        """Return the current `measures.GaugeValue` of each gauge."""
        return self._reporter.gauge_values()


def build(settings, platform, presence, cluster_state):
    """Return the `UsageAccounting` for `config.Settings`."""
    if settings.usage is None:
        return NoUsageAccounting()
    return ReportedUsageAccounting.from_config(
        settings.usage,
        platform.store,
        presence,
        cluster_state,
        platform.usage_platform_at(settings.usage.endpoint),
    )
