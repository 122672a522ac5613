"""The commands and flags of ``anvilwell``."""

from absl import flags

from anvilwell_client.commands import apply
from anvilwell_client.commands import capacity
from anvilwell_client.commands import diff
from anvilwell_client.commands import drain
from anvilwell_client.commands import explain
from anvilwell_client.commands import history
from anvilwell_client.commands import show
from anvilwell_client.commands import status
from anvilwell_client.commands import versions
from anvilwell_client import printer
from anvilwell_decisions.capacity import target
from anvilwell_kernel import commandline

_FLAGS = flags.FlagValues()
flags.DEFINE_multi_string(
    "entry",
    ["127.0.0.1:8081"],
    "Admin address (ip:port) of an entry; repeated ones are tried in order.",
    flag_values=_FLAGS,
)
flags.DEFINE_enum(
    "output",
    printer.Format.TEXT.value,
    [one.value for one in printer.Format],
    "Output format.",
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
    "Timeout for one entry's response, in seconds.",
    lower_bound=0.1,
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    "token_file",
    None,
    "File with the operators' token, if the entries require one.",
    flag_values=_FLAGS,
)
flags.DEFINE_multi_string(
    "log_file",
    [],
    "Log file to read instead of calling an entry, - for standard input;"
    " may be repeated (explain).",
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    "change_id",
    None,
    "Id of an earlier change of unknown outcome, to repeat it (apply).",
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

_INTEGERS_BY_FLAG = {
    "entries": "Entry daemons",
    "replicas": "Replicas of model engines",
    "accelerators": "Accelerators of all replicas",
    "trainers": "Concurrent training runs",
    "samples_step": "Samples in a step of a run",
    "regions": "Regions",
    "failure_domains": "Failure domains",
    "services": "Services",
    "body_bytes": "Mean bytes of a request's body",
}
_FLOATS_BY_FLAG = {
    "requests_s": "Requests a second at the peak",
    "tokens_s": "Tokens generated a second at the peak",
    "step_s": "Seconds within which a step completes",
    "weights_s": "Seconds between weight versions",
    "swap_s": "Seconds until new weights are everywhere",
    "changes_day": "Changes of configuration a day",
    "spread_s": "Seconds until a change is everywhere",
    "failures_day": "VMs that fail a day",
    "replaced_day": "VMs restarted or replaced a day",
}
_CAPACITY_NOTE = "; {} if left out (capacity)."

for _name, _about in _INTEGERS_BY_FLAG.items():
    flags.DEFINE_integer(
        _name,
        None,
        _about + _CAPACITY_NOTE.format(getattr(target.TARGET, _name)),
        lower_bound=1,
        flag_values=_FLAGS,
    )
for _name, _about in _FLOATS_BY_FLAG.items():
    flags.DEFINE_float(
        _name,
        None,
        _about + _CAPACITY_NOTE.format(getattr(target.TARGET, _name)),
        lower_bound=1e-3,
        flag_values=_FLAGS,
    )
flags.DEFINE_alias("requests", "requests_s", flag_values=_FLAGS)
flags.DEFINE_alias("tokens", "tokens_s", flag_values=_FLAGS)

PROGRAM = commandline.Program(
    name="anvilwell",
    about="Operates anvilwell: service documents, drains and diagnosis.",
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
            drain.drain, ("VM",), "stop a VM from taking new work"
        ),
        "versions": commandline.Command(
            versions.versions, ("SERVICE",), "show the weight versions"
        ),
        "explain": commandline.Command(
            explain.explain, ("REQUEST_ID",), "show what happened to a request"
        ),
        "capacity": commandline.Command(
            capacity.capacity,
            (),
            "calculate what a fleet of a given size needs",
        ),
    },
    flag_values=_FLAGS,
)
