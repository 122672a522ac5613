"""Which weight versions truly produced a stream."""

import itertools
import typing

from anvilwell_kernel import exceptions


class TokenRun(typing.NamedTuple):
    """Consecutive tokens of one version."""

    version: str
    tokens: int
    text: str


class Doubt(typing.NamedTuple):
    """Tokens whose version is not certain and that were discarded."""

    tokens: int
    resume_at: int


def ordinal(version):
    """Return the number of `version`; versions of a model are numbered.

    Raises
    ------
    exceptions.BadRequest
        If `version` is not a decimal number.
    """
    if not (version.isascii() and version.isdecimal()):
        raise exceptions.BadRequest(
            f"version {version!r} is not a number; publish versions as "
            "whole numbers that grow"
        )
    return int(version)


def distinct(runs):
    """Return the versions of `runs` in order, each once in a row."""
    return tuple(
        version for version, _ in itertools.groupby(r.version for r in runs)
    )


class StreamVersions:
    """Follows one attempt's stream and keeps only certain tokens.

    An engine names a version with each piece and reports swaps late. A
    piece counts once a later piece, or the end, names a version that
    fits: the same one, or the one that a swap known to have begun leads
    to. Pieces between the order to swap and the engine's word that the
    swap ended are in doubt.
    """

    def __init__(self):
        self._runs = []
        self._doubtful = []
        self._swapping = False

    @property
    def runs(self):
        """The certain token runs so far."""
        return tuple(self._runs)

    @property
    def tokens(self):
        """How many tokens are certain."""
        return sum(run.tokens for run in self._runs)

    @property
    def in_doubt(self):
        """Whether some tokens seen are not certain yet."""
        return bool(self._doubtful)

    def piece(self, run):
        """Take a piece that the engine tagged with ``run.version``."""
        if self._swapping:
            self._doubtful.append(run)
        else:
            self._keep(run)

    def swap_begun(self):
        """Note that the engine was ordered to change its version."""
        self._swapping = True

    def swap_ended(self, version):
        """Settle the doubt: the engine surely has `version` now.

        Returns
        -------
        Doubt or None
            What was discarded; the stream must go on from
            ``resume_at`` tokens. None if every tag held true.
        """
        self._swapping = False
        doubtful, self._doubtful = self._doubtful, []
        known = self._runs[-1].version if self._runs else None
        allowed = [known, version] if known else [version]
        tags = list(distinct(doubtful))
        if not tags or tags in ([version], [known], allowed):
            for run in doubtful:
                self._keep(run)
            return None
        return Doubt(sum(run.tokens for run in doubtful), self.tokens)

    def interrupted(self):
        """Drop what is in doubt as the stream broke; return a `Doubt`."""
        lost = sum(run.tokens for run in self._doubtful)
        self._doubtful = []
        self._swapping = False
        return Doubt(lost, self.tokens)

    def _keep(self, run):
        last = self._runs[-1] if self._runs else None
        if last and last.version == run.version:
            run = TokenRun(
                run.version, last.tokens + run.tokens, last.text + run.text
            )
            self._runs[-1] = run
        else:
            self._runs.append(run)
