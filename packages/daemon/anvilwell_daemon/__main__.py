"""The binary ``anvilwelld``."""

from anvilwell_daemon import commands
from anvilwell_kernel import commandline


def main():
    """Run the command that the process's arguments name."""
    commandline.main(commands.PROGRAM)


if __name__ == "__main__":
    main()
