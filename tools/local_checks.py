"""Local hacking checks, run by flake8."""

import importlib.util
import re

from hacking import core

_FROM_IMPORT = re.compile(r"from\s+([\w.]+)\s+import\s+(\w+)")


@core.flake8ext
def import_modules_only(logical_line):
    """N301: import modules, not objects.

    Okay: from anvilwell_kernel import exceptions
    N301: from anvilwell_kernel.exceptions import BadRequest
    """
    match = _FROM_IMPORT.match(logical_line)
    if match and not _is_module(".".join(match.groups())):
        yield 0, f"N301: {match.group(2)} is not a module"


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False
