"""Which weight versions truly produced a stream."""

import typing

from anvilwell_kernel import exceptions

MAX_DIGITS = 18
SHOWN_CHARS = 40


class TokenRun(typing.NamedTuple):
    """Consecutive tokens of one version."""

    version: str
    tokens: int
    text: str


def ordinal(version):
    """Return the number of `version`; versions of a model are numbered.

    Raises
    ------
    exceptions.BadRequest
        If `version` is not a decimal number of at most 18 digits, or
        has leading zeros.
    """
    short = len(version) <= MAX_DIGITS
    if not (short and version.isascii() and version.isdecimal()):
        raise exceptions.BadRequest(
            f"version {version[:SHOWN_CHARS]!r} is not a number of at most "
            f"{MAX_DIGITS} digits; publish versions as whole numbers that "
            "grow"
        )
    if version != str(int(version)):
        raise exceptions.BadRequest(
            f"version {version!r} has leading zeros; write {int(version)}"
        )
    return int(version)


class _Run:
    """Tokens of one version with when they came, in seconds."""

    __slots__ = ("first_at", "run")

    def __init__(self, run, now):
        self.run = run
        self.first_at = now

    def extend(self, run):
        """Add more tokens of the same version."""
        self.run = TokenRun(
            run.version, self.run.tokens + run.tokens, self.run.text + run.text
        )


class StreamVersions:
    """Decides which versions truly made one stream.

    Engines name a version with each piece, but may go on naming the old
    one for up to `lag_s` after a swap. A version that was first named
    less than that before the next one may have made nothing; one that
    ended the stream is certain only if the replica still has it once
    `lag_s` has passed.

    Parameters
    ----------
    lag_s : float
        Longest time that an engine names the version before.
    """

    def __init__(self, lag_s):
        self._lag_s = lag_s
        self._kept = []
        self.is_doubtful = False

    @property
    def runs(self):
        """The token runs so far, one for each version in order."""
        return tuple(kept.run for kept in self._kept)

    @property
    def last(self):
        """The version named last, "" before any."""
        return self._kept[-1].run.version if self._kept else ""

    def piece(self, run, now):
        """Take a piece that the engine tagged with ``run.version``."""
        if self._kept and self.last == run.version:
            self._kept[-1].extend(run)
            return
        if self._kept and now - self._kept[-1].first_at <= self._lag_s:
            self.is_doubtful = True
        self._kept.append(_Run(run, now))

    def settle(self, replica_version):
        """Take the replica's version, `lag_s` after the stream ended."""
        if replica_version != self.last:
            self.is_doubtful = True
