"""Follows which failure domains operators have evacuated."""

import abc

from anvilwell_gateway import measures
from anvilwell_gateway import prefix_follower
from anvilwell_kernel.telemetry import logs

# Reads of the prefix that fit into the limit of an evacuation while the store
# refuses some of them.
ATTEMPTS_PER_LIMIT = 5

_LOG = logs.get_logger(__name__)


class Evacuations(abc.ABC):
    """Says which failure domains may be sent requests."""

    @abc.abstractmethod
    def listen(self, callback):
        """Call ``callback(domains)`` with domains that may have changed."""

    @property
    @abc.abstractmethod
    def is_known(self):
        """Whether it is known which failure domains are evacuated."""

    @property
    @abc.abstractmethod
    def evacuated(self):
        """The evacuated failure domains that are known."""

    def allows(self, failure_domain):
        """Return whether requests may be sent to a failure domain now."""
        return self.is_known and failure_domain not in self.evacuated

    @abc.abstractmethod
    def gauge_values(self):
        """Return the current `measures.GaugeValue` list."""


class NoEvacuations(Evacuations):
    """Used where the settings have no section for evacuations."""

    is_known = True
    evacuated = frozenset()

    def listen(self, callback):
        """Ignore the callback, as nothing ever changes."""

    def gauge_values(self):
        """Return no values."""
        return []


class FollowedEvacuations(prefix_follower.PrefixFollower, Evacuations):
    """Keeps the evacuated failure domains from the store.

    None of them is known before the first read.

    Parameters
    ----------
    store : store.AsyncStore
        The store to follow.
    codec : store_codec.StoreCodec
        Names the prefix of the keys.
    limit_s : float
        Time within which an evacuation has to be in force, in seconds.
    """

    is_known = False

    def __init__(self, store, codec, limit_s):
        super().__init__(store, codec.evacuations_prefix)
        self.max_retry_s = min(self.max_retry_s, limit_s / ATTEMPTS_PER_LIMIT)
        self._listeners = []
        self._evacuated = frozenset()

    @property
    def evacuated(self):
        """The evacuated failure domains that are known."""
        return self._evacuated

    def listen(self, callback):
        """Call ``callback(domains)`` with domains that may have changed.

        After the first read, `domains` is None for all failure domains.
        """
        self._listeners.append(callback)

    def load(self, entries_by_key):
        """Replace the evacuated failure domains by those in the store."""
        is_first = not self.is_known
        self.is_known = True
        self._set(frozenset(map(self._domain, entries_by_key)), is_first)

    def change(self, change):
        """Begin or end the evacuation of one failure domain."""
        changed = {self._domain(change.key)}
        if change.value is None:
            self._set(self._evacuated - changed)
        else:
            self._set(self._evacuated | changed)

    def _domain(self, key):
        return key.removeprefix(self._prefix)

    def _set(self, evacuated, is_first=False):
        before, self._evacuated = self._evacuated, evacuated
        for domain in sorted(evacuated - before):
            _LOG.log("evacuation-begun", failure_domain=domain)
        for domain in sorted(before - evacuated):
            _LOG.log("evacuation-ended", failure_domain=domain)
        changed = None if is_first else before ^ evacuated
        if changed is None or changed:
            for callback in self._listeners:
                callback(changed)

    def gauge_values(self):
        """Return the number of evacuated failure domains."""
        return [measures.GaugeValue("domains_evacuated", len(self._evacuated))]


def from_config(settings, store, codec):
    """Return the `Evacuations` that the settings call for."""
    if settings.evacuation is None:
        return NoEvacuations()
    return FollowedEvacuations(store, codec, settings.evacuation.limit_s)
