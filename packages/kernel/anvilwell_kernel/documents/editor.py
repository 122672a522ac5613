"""Changes one option of a document's text and leaves all else."""

import configupdater

from anvilwell_kernel.config import loader
from anvilwell_kernel.documents import parser
from anvilwell_kernel import exceptions


def set_version(text, version, source):
    """Return `text` with another weight version; all else byte for byte.

    Parameters
    ----------
    text : str
        A valid document of kind ``model``.
    version : str
        The weight version.
    source : str
        Where the text is from; the first part of each problem.

    Raises
    ------
    exceptions.ConfigurationError
        If `text` is not valid.
    exceptions.Conflict
        If it has no model.
    """
    before = parser.parse(text, source)
    if before.model is None:
        raise exceptions.Conflict(f"{source} has no model")
    return _edit(text, before.model.version, version)


def _edit(text, old, new):
    # With inline comment prefixes it would drop indented comments.
    updater = configupdater.ConfigUpdater(
        delimiters=loader.DELIMITERS,
        comment_prefixes=loader.COMMENT_PREFIXES,
        empty_lines_in_values=False,
    )
    updater.optionxform = str
    updater.read_string(text)
    # A valid version stands on the line of its key, right after "=";
    # setting the option's value would lose spacing and inline comment.
    lines = updater["model"]["version"].lines
    key, delimiter, rest = "".join(lines).partition("=")
    lines[:] = [key + delimiter + rest.replace(old, new, 1)]
    return str(updater)
