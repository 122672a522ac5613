"""Retries of each service, with the budget of its document."""

import threading

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import retries
from anvilwell_kernel import exceptions


class Budgets:
    """Holds a `LockedRetries` for each service.

    Parameters
    ----------
    source : random.Random
        Source of the jitter.
    """

    def __init__(self, source):
        self._random = source
        self._lock = threading.Lock()
        self._retries_by_service = {}
        self._configuration = None

    def follow(self, configuration):
        """Take shares from documents, anew at each new generation."""
        self._configuration = configuration
        configuration.subscribe(self._forget)

    def of_service(self, service):
        """Return the `LockedRetries` of `service`."""
        found = self._retries_by_service.get(service)
        if found is None:
            settings = retries.RetrySettings(share=self._share(service))
            made = LockedRetries(self._random, settings)
            found = self._retries_by_service.setdefault(service, made)
        return found

    def _share(self, service):
        default = retries.RetrySettings().share
        if self._configuration is None:
            return default
        try:
            document = self._configuration.document(service)
        except exceptions.AnvilwellError:
            return default
        return document.traffic.retry_budget

    def _forget(self, service, generation):
        self._retries_by_service.pop(service, None)


class LockedRetries(retries.Retries):
    """Retries for many handler threads."""

    def __init__(self, rng, settings):
        super().__init__(rng, settings)
        self._lock = threading.Lock()

    def first_attempt(self, priority=facts.Priority.LIVE):
        """Count a first attempt of a class."""
        with self._lock:
            super().first_attempt(priority)

    def decide(self, failed_attempt):
        """Return the `retries.RetryDecision` that follows a failure."""
        with self._lock:
            return super().decide(failed_attempt)
