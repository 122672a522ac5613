"""Orders the waiting items of all batches.

Batches go in the order in which they were submitted. After an outage this
alone would make a trainer's later step wait for an earlier one that will be
late in any case. So new items of steps that can still be in time go before new
items of late steps. Items that already have some text are not put back: they
need a slot for a shorter time, and their step can't end before they do.
"""

import math

# Least time in seconds from the start of an item until its trainer has the
# result: an item of median length takes one second, and the trainer polls
# every half second. A step that is due sooner counts as late.
MIN_ITEM_TIME_S = 1.5


def too_late_at(submitted_at, due_s):
    """Return the time from which a new item of a batch comes too late.

    Parameters
    ----------
    submitted_at : float
        When the batch was submitted.
    due_s : float
        How long after that its results are due, 0 if they have no due time.
    """
    return submitted_at + due_s - MIN_ITEM_TIME_S if due_s else math.inf


def sort_key(sequence, is_late, has_text):
    """Return the key by which the items of all batches are sorted.

    Parameters
    ----------
    sequence : tuple
        Sorts the item's batch by the time of submission.
    is_late : bool
        Whether a new item of the batch would come too late.
    has_text : bool
        Whether the item has text from earlier runs.
    """
    return (is_late and not has_text, sequence, not has_text)
