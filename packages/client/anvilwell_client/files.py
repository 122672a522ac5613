"""Reads service documents from files."""

import pathlib
import typing

from anvilwell_kernel import documents
from anvilwell_kernel import exceptions


class DocumentFile(typing.NamedTuple):
    """The text of a service document and the service it defines."""

    service: str
    text: str


def read(path):
    """Read and validate the service document at `path`.

    Raises
    ------
    exceptions.ConfigurationError
        If the document is invalid; lists every problem.
    exceptions.BadRequest
        If the file can't be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadRequest(f"can't read {path}: {error}") from error
    return DocumentFile(documents.parse(text, path).service.name, text)
