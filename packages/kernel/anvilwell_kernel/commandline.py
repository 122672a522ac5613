"""Command lines with sub-commands, built on absl."""

import functools
import os
import sys
import typing

from absl import app
from absl import flags

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

_EXIT_CODES_BY_REASON = {
    reasons.Refusal.BAD_REQUEST: os.EX_DATAERR,
    reasons.Refusal.FORBIDDEN: os.EX_NOPERM,
    reasons.Refusal.INTERNAL: os.EX_SOFTWARE,
}


class Command(typing.NamedTuple):
    """A sub-command of a program.

    ``run`` takes the positional arguments and the program's flag values
    and returns an exit code. ``parameters`` holds the names of the
    positional arguments, and ``about`` is one line of help.
    """

    run: typing.Callable[[list, flags.FlagValues], int]
    parameters: tuple[str, ...]
    about: str


class Program(typing.NamedTuple):
    """A binary with its sub-commands and its own set of flags."""

    name: str
    about: str
    commands_by_name: dict[str, Command]
    flag_values: flags.FlagValues


def main(program):
    """Run `program` with the process's arguments and exit."""
    # For --help, absl prints the docstring of the main module.
    sys.modules["__main__"].__doc__ = usage(program)
    app.run(
        functools.partial(_run, program),
        flags_parser=functools.partial(_parse, program),
    )


def execute(program, argv):
    """Run `program` with `argv` and return its exit code."""
    try:
        return _run(program, _parse(program, argv))
    except app.UsageError as error:
        print_message(str(error))
        return error.exitcode
    except SystemExit as error:
        return error.code


def usage(program):
    """Return the help text of `program`."""
    lines = [
        f"  {' '.join([name, *command.parameters]):28} {command.about}"
        for name, command in program.commands_by_name.items()
    ]
    head = f"{program.about}\n\nusage: {program.name} COMMAND [flags]"
    commands = "\n".join(lines)
    return f"{head}\n\ncommands:\n{commands}\n\n{program.flag_values}\n"


def print_message(text):
    """Print `text` to stderr, where the user at the terminal sees it."""
    print(text, file=sys.stderr)


def _parse(program, argv):
    program.flag_values.unparse_flags()
    program.flag_values.set_gnu_getopt()
    flags.FLAGS.set_gnu_getopt()
    try:
        rest = program.flag_values(argv, known_only=True)
        return flags.FLAGS(rest)
    except flags.Error as error:
        print_message(f"{program.name}: {error}; see {program.name} --help")
        sys.exit(os.EX_USAGE)


def _run(program, argv):
    command, args = _select_command(program, argv[1:])
    try:
        return command.run(args, program.flag_values)
    except exceptions.ConfigurationError as error:
        print_message(error.message)
        return os.EX_CONFIG
    except exceptions.AnvilwellError as error:
        print_message(f"{program.name}: {error.message}")
        return _EXIT_CODES_BY_REASON.get(error.reason, os.EX_UNAVAILABLE)


def _select_command(program, words):
    known = ", ".join(program.commands_by_name)
    if not words or words[0] not in program.commands_by_name:
        found = repr(words[0]) if words else "nothing"
        raise app.UsageError(
            f"expected one of {known}, found {found}", os.EX_USAGE
        )
    command = program.commands_by_name[words[0]]
    if len(words) - 1 != len(command.parameters):
        expected = " ".join([program.name, words[0], *command.parameters])
        raise app.UsageError(f"expected: {expected}", os.EX_USAGE)
    return command, words[1:]
