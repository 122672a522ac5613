"""Which items go first."""

import math

from anvilwell_decisions.batches import order

EARLIER, LATER = (1.0, 1), (2.0, 2)


def test_a_batch_without_a_due_time_is_never_late():
    assert order.late_at(3.0, 0.0) == math.inf
    assert order.late_at(3.0, 7.5) == 10.5 - order.LEAST_S


def test_only_new_items_of_a_late_batch_go_last():
    places = [
        order.place(EARLIER, True, True),
        order.place(LATER, False, True),
        order.place(LATER, False, False),
        order.place(EARLIER, True, False),
    ]

    assert places == sorted(places)
