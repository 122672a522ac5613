"""Turns an operator's own words into record lines."""

import sys

import pydantic
import typing_extensions

from anvilwell_kernel import exceptions


class _Applied(typing_extensions.TypedDict):
    outcome: str
    generation: int
    change_id: str


_APPLIED = pydantic.TypeAdapter(_Applied)


def note(recorder, kind, pairs):
    """Write a line of `kind`.

    Parameters
    ----------
    recorder : recorder.Recorder
        Where the line goes.
    kind : str
        Kind of the line.
    pairs : iterable of str
        Fields as ``name=value``; ``code`` is a number.
    """
    fields = dict(_split(pair) for pair in pairs)
    if "code" in fields:
        fields["code"] = int(fields["code"])
    recorder.write(kind, **fields)


def note_applied(recorder, service, version):
    """Write an ``apply`` line from the client's JSON on stdin."""
    applied = _APPLIED.validate_json(sys.stdin.read())
    recorder.write("apply", service=service, version=version, **applied)


def _split(pair):
    name, separator, value = pair.partition("=")
    if not separator:
        raise exceptions.BadRequest(f"{pair!r} is not name=value")
    return name, value
