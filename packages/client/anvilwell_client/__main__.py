"""Entry point of the ``anvilwell`` program."""

from anvilwell_client import commands
from anvilwell_kernel import commandline


def main():
    """Run the command given on the command line."""
    commandline.main(commands.PROGRAM)


if __name__ == "__main__":
    main()
