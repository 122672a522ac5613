"""The binary ``anvilwell``."""

from anvilwell_client import commands
from anvilwell_kernel import commandline


def main():
    """Run the command that the process's arguments name."""
    commandline.main(commands.PROGRAM)


if __name__ == "__main__":
    main()
