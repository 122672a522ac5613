"""The rate-limited store of model weights."""

import abc


class WeightStore(abc.ABC):
    """Reads what versions there are; engines fetch the weights."""

    @abc.abstractmethod
    def versions(self, model, *, timeout_s):
        """Return the names of the published versions, oldest first."""

    @abc.abstractmethod
    def has(self, model, version, *, timeout_s):
        """Return whether `version` is published."""
