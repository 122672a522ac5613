"""Reads and writes service documents."""

import hashlib

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import writer
from anvilwell_kernel.documents import checks
from anvilwell_kernel.documents import document


def parse(text, source):
    """Return the typed `document.Document` in `text`.

    Parameters
    ----------
    text : str
        The document in INI.
    source : str
        Where it is from; the first part of each problem.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem found, always in the same order.
    """
    return loader.loads(
        text, document.Document, source, (checks.find_contradictions,)
    )


def render(parsed):
    """Return `parsed` as INI text, every option with its value."""
    return writer.render(parsed)


def digest(text):
    """Return a digest of `text` that two documents never share."""
    return hashlib.sha256(text.encode()).hexdigest()
