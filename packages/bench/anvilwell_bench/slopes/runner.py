"""Runs the acts and gathers their raw points."""

import itertools
import os
import platform

REPEATS = 3


def measure(acts, commit, progress=print):
    """Return a ``data.Measurement`` of `acts` made at `commit`."""
    return {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}",
        "python": platform.python_version(),
        "commit": commit,
        "lines_by_name": {
            act.name: _measure_act(act, progress) for act in acts
        },
    }


def _measure_act(act, progress):
    points = [
        (size, act.measure(size))
        for _, size in itertools.product(range(REPEATS), act.sizes)
    ]
    progress(f"{act.name}: {points[-1][1]:.4g} {act.unit} at {act.sizes[-1]}")
    return {
        "act": act.act,
        "grows_with": act.grows_with,
        "unit": act.unit,
        "points": points,
    }
