"""Injects every fault at every step of a run, alone and in pairs."""

import collections
import itertools
import os


import path_world
import pytest

from anvilwell_decisions.samples import chunks
from anvilwell_decisions.samples import coordinator
from anvilwell_decisions.samples import staleness

STRIDE = 9
PAIRS = list(itertools.combinations_with_replacement(path_world.POINTS, 2))


def failures(cases):
    """Return the cases of each problem that was found."""
    found = collections.defaultdict(list)
    for points in cases:
        world = path_world.World(points).run()
        for problem in path_world.find_problems(world):
            found[problem].append(points)
    return found


def test_no_fault():
    assert not failures([()])


def test_every_single_point():
    cases = [(point,) for point in path_world.POINTS]
    found = failures(cases)
    print(f"{len(cases)} single crash points tried")
    assert not found, dict(found)


def test_pairs_of_points():
    """Test every ninth pair, or all pairs if CRASH_PAIRS is ``all``."""
    stride = 1 if os.environ.get("CRASH_PAIRS") == "all" else STRIDE
    cases = PAIRS[::stride]
    found = failures(cases)
    print(f"{len(cases)} of {len(PAIRS)} pairs of crash points tried")
    assert not found, {problem: len(where) for problem, where in found.items()}


def is_seen(points):
    """Return whether a planted fault is detected.

    A KeyError while replaying the broken log counts as detection.
    """
    try:
        return bool(path_world.find_problems(path_world.World(points).run()))
    except KeyError:
        return True


def _forget_fencing(monkeypatch):
    mine = chunks.ChunkAuthor.MINE
    monkeypatch.setattr(chunks.ChunkLog, "compare", lambda *_: mine)
    monkeypatch.setattr(path_world.Entry, "checks_lease", False)


def _forget_ages(monkeypatch):
    monkeypatch.setattr(staleness, "is_over_age", lambda *_: False)


def _forget_to_generate_again(monkeypatch):
    monkeypatch.setattr(coordinator.Coordinator, "_requeue", lambda *_: [])


@pytest.mark.parametrize(
    "plant",
    [_forget_fencing, _forget_ages, _forget_to_generate_again],
)
def test_planted_faults_are_seen(plant, monkeypatch):
    plant(monkeypatch)
    singles = [(point,) for point in path_world.POINTS]
    cases = itertools.chain(singles, PAIRS)
    assert any(is_seen(case) for case in cases)
