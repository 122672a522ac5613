"""Messages about the bytes of samples and calls for other entries."""

import typing


class KeepSample(typing.NamedTuple):
    """Asks a daemon in another failure domain to keep a sample."""

    sample: str
    digest: str
    body: bytes


class SampleKept(typing.NamedTuple):
    """Answers ``KeepSample``."""

    digest: str


class FetchSample(typing.NamedTuple):
    """Asks a daemon for a sample's bytes."""

    sample: str
    digest: str


class SampleBytes(typing.NamedTuple):
    """Answers ``FetchSample``; ``body`` is None if they are not there."""

    digest: str
    body: bytes | None


class DiscardSample(typing.NamedTuple):
    """Tells a daemon that nobody will ask for a sample again."""

    sample: str
    digest: str


class RunCall(typing.NamedTuple):
    """A trainer's call for the entry that holds the service's runs.

    ``arguments`` is JSON.
    """

    service: str
    kind: str
    arguments: bytes


class RunAnswer(typing.NamedTuple):
    """Answers ``RunCall`` with a JSON body."""

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
