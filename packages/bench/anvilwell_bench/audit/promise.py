"""What a promise is, and how a breach of it is told."""

import abc
import typing


class Breach(typing.NamedTuple):
    """One breach, with the requests (or samples) that show it."""

    promise: str
    message: str
    requests: tuple


class Promise(abc.ABC):
    """One promise, checked against the records alone."""

    name = None

    @abc.abstractmethod
    def check(self, records):
        """Return a list of every `Breach` in `records`."""

    @abc.abstractmethod
    def evidence(self, records):
        """Return how many observations could have shown a breach."""

    def breach(self, message, *requests):
        """Return a `Breach` of this promise."""
        return Breach(self.name, message, requests)
