"""Changes the weight version in a document and preserves the rest."""

import configupdater

from anvilwell_kernel.config import loader
from anvilwell_kernel.documents import parser
from anvilwell_kernel import exceptions


def set_version(text, version, source):
    """Return `text` with another weight version and no other change.

    Parameters
    ----------
    text : str
        A valid document of kind ``model``.
    version : str
        The new weight version.
    source : str
        Origin of the text; each problem starts with it.

    Raises
    ------
    exceptions.ConfigurationError
        If `text` is not valid.
    exceptions.Conflict
        If the document has no model section.
    """
    before = parser.parse(text, source)
    if before.model is None:
        raise exceptions.Conflict(f"{source} has no model")
    return _edit(text, before.model.version, version)


def _edit(text, old, new):
    # inline_comment_prefixes is not set, because ConfigUpdater would then drop
    # indented comments.
    updater = configupdater.ConfigUpdater(
        delimiters=loader.DELIMITERS,
        comment_prefixes=loader.COMMENT_PREFIXES,
        empty_lines_in_values=False,
    )
    updater.optionxform = str
    updater.read_string(text)
    # The line is edited as text, because setting the option's value would
    # lose its spacing and inline comment. In a valid document the version is
    # on the same line as its key and is the first text after "=".
    lines = updater["model"]["version"].lines
    key, delimiter, rest = "".join(lines).partition("=")
    lines[:] = [key + delimiter + rest.replace(old, new, 1)]
    return str(updater)
