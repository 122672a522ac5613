"""Command line of the load tool."""

import signal
import sys

from absl import app
from absl import flags

from anvilwell_bench.load import notes
from anvilwell_bench.load import prober
from anvilwell_bench.load import recorder as recorders
from anvilwell_bench.load import summary as summaries

_RECORD = flags.DEFINE_string("record", "", "File that gets the record.")
_WHO = flags.DEFINE_string("who", "", "Name in the record.")
_DAEMONS = flags.DEFINE_list(
    "daemons", [], "Daemons as name=host:port, callers' or admin ports."
)
_INTERVAL = flags.DEFINE_float("interval", 0.5, "Seconds between probes.")
_VERSION = flags.DEFINE_string("version", "", "Weight version applied.")
_METRICS = flags.DEFINE_string("metrics", "", "Folder of metrics pages.")


def probe(args):
    """Probe the daemons until a signal."""
    daemons = [prober.Probed(*pair) for pair in _addresses()]
    probing = prober.Prober(daemons, _recorder())
    _stop_on_signal(probing)
    probing.run(_INTERVAL.value)


def note(args):
    """Write one operator's line: KIND name=value..."""
    notes.note(_recorder(), args[0], args[1:])


def applied(args):
    """Write an ``apply`` line of SERVICE from JSON on stdin."""
    notes.note_applied(_recorder(), args[0], _VERSION.value)


def summary(args):
    """Print the summary of the records in FOLDER."""
    print("\n".join(summaries.summarize(args[0], _METRICS.value)))


def whole_steps(args):
    """Print how many steps in the records of FOLDER are whole."""
    print(summaries.count_whole(args[0]))


_COMMANDS = {
    command.__name__: command
    for command in (probe, note, applied, summary, whole_steps)
}


def main(argv):
    """Run the command that `argv` names."""
    if len(argv) < 2 or argv[1] not in _COMMANDS:
        raise app.UsageError(f"commands: {', '.join(_COMMANDS)}")
    _COMMANDS[argv[1]](argv[2:])


def _recorder():
    return recorders.Recorder(_WHO.value, _RECORD.value)


def _addresses():
    pairs = (item.partition("=") for item in _DAEMONS.value)
    return [(name, f"http://{address}") for name, _, address in pairs]


def _stop_on_signal(stoppable):
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stoppable.stop())


if __name__ == "__main__":
    sys.exit(app.run(main))
