"""The commands of ``anvilwell``."""

from absl import flags

from anvilwell_client.commands import apply
from anvilwell_client.commands import diff
from anvilwell_client.commands import drain
from anvilwell_client.commands import explain
from anvilwell_client.commands import history
from anvilwell_client.commands import show
from anvilwell_client.commands import status
from anvilwell_client.commands import versions
from anvilwell_client import printer
from anvilwell_kernel import commandline

_FLAGS = flags.FlagValues()
flags.DEFINE_multi_string(
    "entry",
    ["127.0.0.1:8081"],
    "Admin address (ip:port) of an entry; give several to try in order.",
    flag_values=_FLAGS,
)
flags.DEFINE_enum(
    "output",
    printer.Format.TEXT.value,
    [one.value for one in printer.Format],
    "How answers are printed.",
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    "operator",
    None,
    "Name for the history; your login name if left out (apply).",
    flag_values=_FLAGS,
)
flags.DEFINE_float(
    "timeout_s",
    12.0,
    "Longest wait for one entry's answer, in seconds.",
    lower_bound=0.1,
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    "token_file",
    None,
    "File with the operators' token, if entries want one.",
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    "change_id",
    None,
    "Id of an earlier change of unknown outcome, to settle it (apply).",
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    "expected_generation",
    None,
    "Generation that the change replaces; the current one if left out"
    " (apply).",
    lower_bound=0,
    flag_values=_FLAGS,
)

PROGRAM = commandline.Program(
    name="anvilwell",
    about="Drives anvilwell: service documents, drains and explanations.",
    commands_by_name={
        "apply": commandline.Command(
            apply.apply, ("FILE",), "put a service document in force"
        ),
        "show": commandline.Command(
            show.show, ("SERVICE",), "show the document in force"
        ),
        "diff": commandline.Command(
            diff.diff, ("FILE",), "compare a file with what is in force"
        ),
        "history": commandline.Command(
            history.history, ("SERVICE",), "list the accepted changes"
        ),
        "status": commandline.Command(
            status.status, (), "show the daemons and services"
        ),
        "drain": commandline.Command(
            drain.drain, ("VM",), "have a VM take no new work"
        ),
        "versions": commandline.Command(
            versions.versions, ("SERVICE",), "show the weight versions"
        ),
        "explain": commandline.Command(
            explain.explain, ("REQUEST_ID",), "say what happened to a request"
        ),
    },
    flag_values=_FLAGS,
)
