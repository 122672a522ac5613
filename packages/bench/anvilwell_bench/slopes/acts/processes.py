"""What a daemon's process takes before it knows of any other."""

import os
import pathlib
import subprocess
import sys

from anvilwell_bench.slopes import act

_PAGES_FIELD = 1
_PROGRAM = (
    "import anvilwell_daemon.commands.run, anvilwell_daemon.process.factories;"
    "print('up', flush=True); input()"
)


class BaseBytes(act.Act):
    """Resident memory of processes with the daemon's code loaded."""

    name = "daemon.base.bytes"
    act = "resident memory of processes with all code loaded"
    grows_with = "processes"
    unit = "bytes"
    sizes = (1, 2, 3, 4)

    def measure(self, size):
        """Return resident bytes of all processes."""
        started = [
            subprocess.Popen(
                [sys.executable, "-c", _PROGRAM],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for _ in range(size)
        ]
        try:
            return sum(map(self._resident_bytes, started))
        finally:
            for process in started:
                process.communicate(b"\n")

    @staticmethod
    def _resident_bytes(process):
        process.stdout.readline()
        fields = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()
        return int(fields[_PAGES_FIELD]) * os.sysconf("SC_PAGESIZE")
