"""Late batches' new items go last."""

import math

from anvilwell_decisions.batches import item_order

EARLIER, LATER = (1.0, 1), (2.0, 2)


def test_a_batch_without_a_due_time_is_never_late():
    assert item_order.too_late_at(3.0, 0.0) == math.inf
    assert (
        item_order.too_late_at(3.0, 7.5) == 10.5 - item_order.MIN_ITEM_TIME_S
    )


def test_only_new_items_of_a_late_batch_go_last():
    keys = [
        item_order.sort_key(EARLIER, True, True),
        item_order.sort_key(LATER, False, True),
        item_order.sort_key(LATER, False, False),
        item_order.sort_key(EARLIER, True, False),
    ]

    assert keys == sorted(keys)
