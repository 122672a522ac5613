"""Entry point: ``python -m anvilwell_standins KIND [flags]``."""

import sys

from absl import app
from absl import flags

from anvilwell_standins import commands
from anvilwell_standins.commands import serving

EXIT_USAGE = 2


def main(argv=None):
    """Run the command named by the first argument."""
    argv = sys.argv if argv is None else argv
    if len(argv) < 2 or argv[1] not in commands.NAMES:
        kinds = ", ".join(commands.NAMES)
        print(f"usage: anvilwell_standins KIND [flags]; kinds: {kinds}")
        return EXIT_USAGE
    command = commands.load(argv[1])
    # So that --help shows the command's flags and not the library's.
    flags.adopt_module_key_flags(sys.modules[command.__module__])
    flags.adopt_module_key_flags(serving)
    return app.run(command, [argv[0], *argv[2:]])


if __name__ == "__main__":
    sys.exit(main())
