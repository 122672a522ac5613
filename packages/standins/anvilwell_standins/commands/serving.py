"""What the commands share: flags, the ready line and the way out."""

import pathlib
import signal
import threading

from absl import flags

from anvilwell_standins.base import record

LISTEN = flags.DEFINE_string(
    "listen", "127.0.0.1:0", "Address to listen on; port 0 chooses one."
)
NAME = flags.DEFINE_string("name", "", "Name in the record.")
RECORD = flags.DEFINE_string("record", "", "File for the record.")
PORT_FILE = flags.DEFINE_string(
    "port-file", "", "File that gets the address once it is served."
)
THREADS = flags.DEFINE_integer(
    "threads", 128, "Calls and streams served at a time.", lower_bound=1
)


def open_record(name):
    """Return the record that the flags ask for."""
    return record.Record(NAME.value or name, RECORD.value)


def arguments(name):
    """Return the arguments that every stand-in takes."""
    return {
        "listen": LISTEN.value,
        "record": open_record(name),
        "threads": THREADS.value,
    }


def until_signal():
    """Return an event that SIGTERM and SIGINT set."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    return stopped


def serve(standin):
    """Serve `standin` until SIGTERM or SIGINT."""
    stopped = until_signal()
    with standin:
        print(f"ready {standin.address}", flush=True)
        if PORT_FILE.value:
            _write_whole(pathlib.Path(PORT_FILE.value), standin.address)
        stopped.wait()
    return 0


def _write_whole(path, text):
    partial = path.with_suffix(".partial")
    partial.write_text(f"{text}\n")
    partial.replace(path)
