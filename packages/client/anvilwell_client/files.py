"""Reads service documents from files."""

import pathlib
import typing

from anvilwell_kernel import documents
from anvilwell_kernel import exceptions


class File(typing.NamedTuple):
    """A document's text and the service that it names."""

    service: str
    text: str


def read(path):
    """Return the checked `File` at `path`.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem of the document.
    exceptions.BadRequest
        If the file can't be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadRequest(f"can't read {path}: {error}") from error
    return File(documents.parse(text, path).service.name, text)
