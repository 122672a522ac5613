"""Reads record files into one ordered history."""

import functools
import itertools
import operator
import pathlib
import typing

import pydantic

from anvilwell_bench.audit import records as lines
from anvilwell_kernel import exceptions

_SUFFIX = ".jsonl"
_PLATFORM_PARTIES = ("keyvalue", "vmlist", "weightstore", "scorer")


class BadRecord(exceptions.AnvilwellError):
    """A record is malformed or missing, so that nothing can be said."""


class Records(typing.NamedTuple):
    """Lines of all parties in the order of their times."""

    lines: tuple

    @classmethod
    def from_lines(cls, unordered):
        """Return records of `unordered` typed lines."""
        return cls(tuple(sorted(unordered, key=operator.itemgetter("at"))))

    def of(self, kind):
        """Return the lines of one kind, the earliest first."""
        return [line for line in self.lines if line["kind"] == kind]


def parse(text, source):
    """Return the typed lines in `text`.

    Parameters
    ----------
    text : str
        JSON lines.
    source : str
        Where they come from, for errors.

    Raises
    ------
    BadRecord
        If any line is not a known record line.
    """
    parsed = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            parsed.append(lines.ADAPTER.validate_json(line))
        except pydantic.ValidationError as error:
            raise BadRecord(f"{source}:{number}: {error}") from error
    return parsed


def read(folder, parties=()):
    """Return the `Records` in the files of `folder`.

    Parameters
    ----------
    folder : path-like
        Holds one file for each party, ``<who>.jsonl``.
    parties : iterable of str
        Those that must have left a record with at least one line.

    Raises
    ------
    BadRecord
        If a line is malformed, or a party's record is missing or empty.
    """
    paths_by_party = {
        path.stem: path
        for path in sorted(pathlib.Path(folder).glob(f"*{_SUFFIX}"))
        if not path.stem.startswith(_PLATFORM_PARTIES)
    }
    if not paths_by_party:
        raise BadRecord(f"no record files in {folder}")
    parsed_by_party = {
        party: parse(path.read_text(encoding="utf-8"), path.name)
        for party, path in paths_by_party.items()
    }
    _require(parties, parsed_by_party)
    return Records.from_lines(
        itertools.chain.from_iterable(parsed_by_party.values())
    )


def _require(parties, parsed_by_party):
    missing = [party for party in parties if not parsed_by_party.get(party)]
    if missing:
        raise BadRecord(f"no record of {', '.join(missing)}")


def group_by(items, *keys):
    """Return lists of `items` by the values of `keys`.

    One key gives plain values as keys, more give tuples.
    """
    key = operator.itemgetter(*keys)

    def add(groups, item):
        groups.setdefault(key(item), []).append(item)
        return groups

    return functools.reduce(add, items, {})
