"""Port to the store of model weights, which limits the rate of calls."""

import abc


class WeightStore(abc.ABC):
    """Lists weight versions; the engines fetch the weights themselves."""

    @abc.abstractmethod
    def versions(self, model, *, timeout_s):
        """Return the names of `model`'s published versions, oldest first."""

    @abc.abstractmethod
    def has(self, model, version, *, timeout_s):
        """Return whether `version` of `model` is published."""
