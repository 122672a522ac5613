"""``slopes``: measures what each recurring act costs, as lines."""

import importlib.resources
import os
import pathlib
import subprocess

from absl import flags

from anvilwell_bench.slopes import check
from anvilwell_bench.slopes import plot
from anvilwell_bench.slopes import registry
from anvilwell_bench.slopes import runner
from anvilwell_decisions.capacity import data

PLOT = pathlib.Path("docs/capacity-slopes.svg")
_FLAGS = flags.FLAGS

flags.DEFINE_bool("write", False, "Keep what was measured as the new data.")


def slopes(args):
    """Measure the acts whose names begin as in `args`, or all.

    Returns
    -------
    int
        1 if a slope lies outside its stated spread.
    """
    acts = [one for one in registry.all_acts() if _is_named(one.name, args)]
    measured = runner.measure(acts, _commit())
    if _FLAGS.write:
        _write(measured)
        return os.EX_OK
    return _compare(measured)


def _is_named(name, beginnings):
    return not beginnings or name.startswith(tuple(beginnings))


def _write(measured):
    package = importlib.resources.files("anvilwell_decisions.capacity")
    kept = measured
    if (package / data.FILE).is_file():
        before = data.read()["lines_by_name"]
        names = {one.name for one in registry.all_acts()}
        lines_by_name = before | measured["lines_by_name"]
        kept = measured | {
            "lines_by_name": {
                name: lines_by_name[name] for name in sorted(names)
            }
        }
    text = data.ADAPTER.dump_json(kept, indent=1) + b"\n"
    pathlib.Path(str(package / data.FILE)).write_bytes(text)
    plot.draw(data.lines_by_name(kept), PLOT)


def _compare(measured):
    before_by_name = data.lines_by_name(data.read())
    after_by_name = data.lines_by_name(measured)
    print(check.table(before_by_name, after_by_name))
    found = check.differences(before_by_name, after_by_name)
    print(f"{len(after_by_name)} slopes, {len(found)} outside their spread")
    return 1 if found else os.EX_OK


def _commit():
    return subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.strip()
