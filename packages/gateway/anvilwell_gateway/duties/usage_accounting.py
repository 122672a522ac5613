"""Usage reports of an entry: counting, telling and reporting together."""

import abc

from anvilwell_gateway.duties import duty_election
from anvilwell_gateway.duties import usage_notifier
from anvilwell_gateway.duties import usage_reporter

DUTY = "usage"
# Peers ask for it under this target.
TARGET = usage_notifier.TARGET


class UsageAccounting(abc.ABC):
    """What an entry does about usage."""

    holder = None

    @abc.abstractmethod
    def count_request(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""

    @abc.abstractmethod
    def start(self):
        """Begin to count, tell and report."""

    @abc.abstractmethod
    async def release_duty(self):
        """Leave the duty to another entry; go on to count and tell."""

    @abc.abstractmethod
    async def stop(self):
        """Tell what was counted, and end."""

    @abc.abstractmethod
    async def answer(self, request, responder):
        """Take what another entry tells."""

    @abc.abstractmethod
    def gauge_values(self):
        """Return each `measures.GaugeValue` as of now."""


class NoUsageAccounting(UsageAccounting):
    """Of a deployment whose platform wants no reports."""

    def count_request(self, organisation, at):
        """Count nothing."""

    def start(self):
        """Do nothing."""

    async def release_duty(self):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    async def answer(self, request, responder):
        """Say that nobody reports here."""
        await responder.send(404)

    def gauge_values(self):
        """Return nothing."""
        return []


class ReportedUsageAccounting(UsageAccounting):
    """Counts, tells the holder, and reports if this entry is it."""

    def __init__(self, duty, reporter, notifier):
        self._duty = duty
        self._reporter = reporter
        self._notifier = notifier

    @classmethod
    def from_config(cls, settings, store, presence, cluster_state, platform):
        """Return the usage reports that `config.UsageSection` asks for."""
        duty = duty_election.Duty(
            DUTY, store, presence, cluster_state, settings.turn_s
        )
        reporter = usage_reporter.UsageReporter(
            store, presence, cluster_state, duty, platform, settings
        )
        notifier = usage_notifier.UsageNotifier(
            presence, cluster_state, duty, reporter.accept_counts, settings
        )
        return cls(duty, reporter, notifier)

    @property
    def holder(self):
        """The VM that reports usage, as far as is known here."""
        return self._duty.holder

    def count_request(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""
        self._notifier.count_request(organisation, at)

    def start(self):
        """Begin to count, tell and report."""
        self._duty.start()
        self._reporter.start()
        self._notifier.start()

    async def release_duty(self):
        """Leave the duty to another entry; go on to count and tell."""
        await self._duty.stop()
        await self._reporter.stop()

    async def stop(self):
        """Tell what was counted, and end."""
        await self._notifier.stop()
        await self.release_duty()

    async def answer(self, request, responder):
        """Take what another entry tells."""
        counts = usage_notifier.decode_counts(request.body)
        true_time = self._reporter.accept_counts(counts)
        await responder.send(
            200, (), usage_notifier.encode_true_time(true_time)
        )

    def gauge_values(self):
        """Return each `measures.GaugeValue` as of now."""
        return self._reporter.gauge_values()


def build(settings, platform, presence, cluster_state):
    """Return the `UsageAccounting` that the `config.Settings` ask for."""
    if settings.usage is None:
        return NoUsageAccounting()
    return ReportedUsageAccounting.from_config(
        settings.usage,
        platform.store,
        presence,
        cluster_state,
        platform.usage_platform_at(settings.usage.endpoint),
    )
