"""Patterns for the calls of a plain service that are not idempotent."""

import fnmatch
import posixpath
import typing
from urllib import parse

import pydantic

from anvilwell_kernel.config import options

_METHODS = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
)


class Call(typing.NamedTuple):
    """An HTTP method and a path pattern; ``*`` matches any text."""

    method: str
    path: str

    def __str__(self):
        """Return the pattern as it is written in a service document."""
        return f"{self.method} {self.path}"

    def matches(self, method, path):
        """Return whether the pattern matches `method` and `path`.

        Other spellings of a path, such as ``//notices/`` and
        ``/%6eotices?x=1``, match too, because a backend server may treat
        them as the same call.
        """
        if self.method not in ("*", method.upper()):
            return False
        return fnmatch.fnmatchcase(normal_path(path), normal_path(self.path))


def normal_path(path):
    """Return `path` decoded, in lower case, normalised and without query."""
    bare = parse.unquote(path.partition("?")[0].partition("#")[0])
    return posixpath.normpath("/" + bare.lstrip("/")).lower()


def parse_call(text):
    """Return the `Call` that `text`, such as ``POST /notices``, denotes.

    Raises
    ------
    ValueError
        If the method is unknown or the path does not begin with ``/``.
    """
    if isinstance(text, Call):
        return text
    method, _, path = text.partition(" ")
    if method not in _METHODS:
        raise ValueError(f"{method!r} is not an HTTP method")
    if not path.strip().startswith("/"):
        raise ValueError(f"path {path.strip()!r} does not begin with '/'")
    return Call(method, path.strip())


CallOption = typing.Annotated[Call, pydantic.BeforeValidator(parse_call)]
CallList = typing.Annotated[
    tuple[CallOption, ...],
    pydantic.BeforeValidator(options.split_list),
    options.Fix("give calls such as: POST /notices, PUT /changes/*"),
]
