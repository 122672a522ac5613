"""Slow readers do not use up the memory of a VM.

Guards against an entry that runs out of memory when 200 trainers request
long pages of results and read none of them.
"""

from anvilwell_decisions.requests import byte_budget

READERS = 200
PAGE_BYTES = 900 << 10
RESULT_BYTES = 10 << 10
SMALL_VM_MB = 160


def test_two_hundred_slow_readers_fit_into_a_small_vm():
    budget = byte_budget.ByteBudget.from_memory(SMALL_VM_MB)
    pages = []
    for _ in range(READERS):
        # A page has at least one result, even if nothing is free.
        pages.append(max(RESULT_BYTES, budget.page_bytes(PAGE_BYTES)))
        budget.hold(pages[-1])

    assert budget.held_bytes < 2 * byte_budget.MEMORY_SHARE * SMALL_VM_MB * 1e6
    assert pages[0] == PAGE_BYTES


def test_new_bodies_are_refused_while_answers_are_held():
    budget = byte_budget.ByteBudget(100)
    assert budget.try_hold(60)
    assert not budget.try_hold(50)
    budget.hold(50)
    assert budget.free_bytes == 0
    assert not budget.try_hold(1)
    budget.release(60)
    assert budget.try_hold(50)


def test_unknown_memory_size_gives_the_default_budget():
    assert (
        byte_budget.ByteBudget.from_memory(0).total_bytes
        == byte_budget.DEFAULT_BYTES
    )
