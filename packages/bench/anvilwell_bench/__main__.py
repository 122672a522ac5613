"""Entry point: ``python -m anvilwell_bench COMMAND [flags]``."""

import importlib
import pkgutil
import sys

from absl import app
from absl import flags

from anvilwell_bench import commands

ALL = "all"

_FLAGS = flags.FLAGS

flags.DEFINE_integer("seed", 1, "Seed of every random stream.")
flags.DEFINE_bool("quick", False, "Shorter runs, for a first look.")


def command_names():
    """Return the names of the commands, one for each module."""
    found = pkgutil.iter_modules(commands.__path__)
    return sorted(module.name for module in found)


def load_command(name):
    """Return the function of the command called `name`."""
    module = importlib.import_module(f"{commands.__name__}.{name}")
    return getattr(module, name)


def main(argv):
    """Run the command that is named first, or all of them."""
    names = command_names()
    if len(argv) < 2 or argv[1] not in (*names, ALL):
        wanted = "|".join((*names, ALL))
        raise app.UsageError(f"name a command: {wanted}")
    chosen = names if argv[1] == ALL else [argv[1]]
    return max(load_command(name)(argv[2:]) or 0 for name in chosen)


def run():
    """Run from the command line; flags may stand anywhere."""
    for name in command_names():
        importlib.import_module(f"{commands.__name__}.{name}")
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())
