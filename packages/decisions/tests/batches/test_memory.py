"""Long items are spread over engines, and a shared prompt is held once."""

from anvilwell_decisions.batches import memory
from anvilwell_decisions.traffic import facts
import pytest

TOTAL = 9_000


def _long(shared_id="", shared=0):
    prompt = facts.Prompt(1_000, shared_id, shared)
    return memory.memory_demand(prompt, 50.0, 10, 30)


def test_a_run_holds_its_prompt_and_the_text_so_far():
    assert _long() == memory.MemoryDemand(1_500.0, 1_500.0)
    assert _long("p", 900) == memory.MemoryDemand(600.0, 1_500.0, "p", 900)


def test_four_long_items_do_not_fit_one_engine():
    engine = memory.EngineMemory(TOTAL)
    engine.add(_long())
    assert engine.fits(_long())
    engine.add(_long())
    assert not engine.fits(_long())
    assert engine.peak_share(_long()) == pytest.approx(1.0)


def test_a_shared_prompt_counts_once():
    engine = memory.EngineMemory(TOTAL)
    engine.add(_long("p", 900))
    engine.add(_long("p", 900))

    assert engine.has_shared_prompt("p")
    assert engine.peak_share(_long("p", 900)) == pytest.approx(0.8)
    assert engine.peak_share(_long("q", 900)) == pytest.approx(0.9)


def test_any_run_fits_an_engine_with_unknown_memory():
    engine = memory.EngineMemory(0)
    for _ in range(100):
        engine.add(_long())

    assert engine.fits(_long())
    assert engine.peak_share(_long()) == 0.0


def test_nearly_full_depends_on_the_memory_held_now():
    engine = memory.EngineMemory(TOTAL)
    for _ in range(5):
        engine.add(_long())
    assert not engine.fits(_long())
    assert not engine.is_nearly_full

    engine.add(_long("p", 500))
    assert engine.is_nearly_full


def test_runs_that_end_sooner_have_freed_their_memory():
    """A long item beside short ones needs less than the sum of all peaks."""
    engine = memory.EngineMemory(TOTAL)
    for left in (100.0, 500.0, 6_000.0):
        engine.add(memory.MemoryDemand(1_000.0, left))

    # The peak is at the end of the third run, with the new one beside it.
    assert engine.peak_share(
        memory.MemoryDemand(1_000.0, 100.0)
    ) == pytest.approx(7 / 9)
    assert engine.peak_share(
        memory.MemoryDemand(0.0, 6_000.0)
    ) == pytest.approx(13 / 9)
