"""One module a command; each defines its flags and one function."""

import importlib

NAMES = (
    "caller",
    "engine",
    "keyvalue",
    "plain",
    "scorer",
    "trainer",
    "vmlist",
    "weightstore",
)


def load(name):
    """Return the function of the command called `name`."""
    module = importlib.import_module(f"anvilwell_standins.commands.{name}")
    return getattr(module, name)
