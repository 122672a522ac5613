"""Callers that read slowly do not take a VM's memory.

The load: two hundred trainers that ask for long pages and read none.
"""

from anvilwell_decisions.requests import buffers

READERS = 200
PAGE_BYTES = 900 << 10
RESULT_BYTES = 10 << 10
SMALL_VM_MB = 160


def test_two_hundred_slow_readers_fit_into_a_small_vm():
    budget = buffers.Budget.from_memory(SMALL_VM_MB)
    pages = []
    for _ in range(READERS):
        # One result at least, however little is left.
        pages.append(max(RESULT_BYTES, budget.page_bytes(PAGE_BYTES)))
        budget.hold(pages[-1])

    assert budget.held < 2 * buffers.HELD_SHARE * SMALL_VM_MB * 1e6
    assert pages[0] == PAGE_BYTES


def test_what_has_not_run_is_refused_first():
    budget = buffers.Budget(100)
    assert budget.take(60)
    assert not budget.take(50)
    budget.hold(50)
    assert budget.room == 0
    assert not budget.take(1)
    budget.give(60)
    assert budget.take(50)


def test_a_vm_that_tells_no_memory_has_a_budget():
    assert buffers.Budget.from_memory(0).total == buffers.DEFAULT_BYTES
