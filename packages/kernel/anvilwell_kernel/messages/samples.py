"""Messages that store and fetch samples and forward trainers' calls."""

import typing


class KeepSample(typing.NamedTuple):
    """Asks a daemon in another failure domain to store a sample."""

    sample: str
    digest: str
    body: bytes


class SampleKept(typing.NamedTuple):
    """Confirms a ``KeepSample``."""

    digest: str


class FetchSample(typing.NamedTuple):
    """Asks a daemon for the bytes of a sample."""

    sample: str
    digest: str


class SampleBytes(typing.NamedTuple):
    """Answers ``FetchSample``; ``body`` is None if they are not stored."""

    digest: str
    body: bytes | None


class DiscardSample(typing.NamedTuple):
    """Allows a daemon to delete a sample that is no longer needed."""

    sample: str
    digest: str


class RunCall(typing.NamedTuple):
    """Forwards a trainer's call to the entry that owns the service's runs.

    ``arguments`` is JSON text.
    """

    service: str
    kind: str
    arguments: bytes


class RunAnswer(typing.NamedTuple):
    """Answers ``RunCall``; ``body`` is JSON text."""

    body: bytes


KINDS = (
    KeepSample,
    SampleKept,
    FetchSample,
    SampleBytes,
    DiscardSample,
    RunCall,
    RunAnswer,
)
