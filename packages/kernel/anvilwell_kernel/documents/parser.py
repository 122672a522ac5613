"""Parses and renders service documents."""

import hashlib

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import writer
from anvilwell_kernel.documents import checks
from anvilwell_kernel.documents import document


def parse(text, source):
    """Return the `document.Document` in `text`.

    Parameters
    ----------
    text : str
        The document as INI text.
    source : str
        Origin of the text; each problem starts with it.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem found; their order is deterministic.
    """
    return loader.loads(
        text, document.Document, source, (checks.find_contradictions,)
    )


def render(parsed):
    """Return `parsed` as INI text with all options, also defaults."""
    return writer.render(parsed)


def digest(text):
    """Return the SHA-256 digest of `text`, which identifies a document."""
    return hashlib.sha256(text.encode()).hexdigest()
