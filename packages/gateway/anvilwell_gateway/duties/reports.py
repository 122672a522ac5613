"""Usage reports of an entry: counting, telling and reporting together."""

import abc

from anvilwell_gateway.duties import holding
from anvilwell_gateway.duties import reporting
from anvilwell_gateway.duties import telling

DUTY = "usage"
# Peers ask for it under this target.
TARGET = telling.TARGET


class Usage(abc.ABC):
    """What an entry does about usage."""

    holder = None

    @abc.abstractmethod
    def began(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""

    @abc.abstractmethod
    def start(self):
        """Begin to count, tell and report."""

    @abc.abstractmethod
    async def let_go(self):
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


class NoUsage(Usage):
    """Of a deployment whose platform wants no reports."""

    def began(self, organisation, at):
        """Count nothing."""

    def start(self):
        """Do nothing."""

    async def let_go(self):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    async def answer(self, request, responder):
        """Say that nobody reports here."""
        await responder.send(404)

    def gauge_values(self):
        """Return nothing."""
        return []


class ReportedUsage(Usage):
    """Counts, tells the holder, and reports if this entry is it."""

    def __init__(self, duty, reporter, teller):
        self._duty = duty
        self._reporter = reporter
        self._teller = teller

    @classmethod
    def from_config(cls, settings, store, presence, cluster_state, platform):
        """Return the usage reports that `config.UsageSection` asks for."""
        duty = holding.Duty(
            DUTY, store, presence, cluster_state, settings.turn_s
        )
        reporter = reporting.Reporter(
            store, presence, cluster_state, duty, platform, settings
        )
        teller = telling.Teller(
            presence, cluster_state, duty, reporter.hear, settings
        )
        return cls(duty, reporter, teller)

    @property
    def holder(self):
        """The VM that reports usage, as far as is known here."""
        return self._duty.holder

    def began(self, organisation, at):
        """Count a request that a replica began at loop time `at`."""
        self._teller.began(organisation, at)

    def start(self):
        """Begin to count, tell and report."""
        self._duty.start()
        self._reporter.start()
        self._teller.start()

    async def let_go(self):
        """Leave the duty to another entry; go on to count and tell."""
        await self._duty.stop()
        await self._reporter.stop()

    async def stop(self):
        """Tell what was counted, and end."""
        await self._teller.stop()
        await self.let_go()

    async def answer(self, request, responder):
        """Take what another entry tells."""
        told = telling.read_told(request.body)
        true_time = self._reporter.hear(told)
        await responder.send(200, (), telling.write_true_time(true_time))

    def gauge_values(self):
        """Return each `measures.GaugeValue` as of now."""
        return self._reporter.gauge_values()


def build(settings, platform, presence, cluster_state):
    """Return the `Usage` that the `config.Settings` ask for."""
    if settings.usage is None:
        return NoUsage()
    return ReportedUsage.from_config(
        settings.usage,
        platform.store,
        presence,
        cluster_state,
        platform.duties_at(settings.usage.endpoint),
    )
