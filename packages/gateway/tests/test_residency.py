"""Tests what the limits of relays keep in memory."""

import contextvars
import gc
from unittest import mock
import weakref

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import residency


class _Item:
    """Stands for an item, and can be referred to weakly."""


def test_a_context_that_outlives_a_batch_keeps_no_items():
    """Guards against bodies that stay with tasks of pooled connections."""
    rules = residency.ResidencyRules(mock.Mock(), mock.Mock(), mock.Mock())
    item = _Item()
    kept = weakref.ref(item)
    submission = facts.Submission("b", "h", "/", (item,))
    with rules.relays_of_submission(submission):
        context = contextvars.copy_context()
    del item, submission
    gc.collect()
    assert context
    assert kept() is None
