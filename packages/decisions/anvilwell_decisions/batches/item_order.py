"""Which batch's items go first.

Batches go in the order in which they were submitted. After an outage that
keeps a trainer's later step waiting for an earlier one that is late
whatever becomes of it: then new items of steps that can still be in time
go first. What has some text goes on in any case, since it needs its place
for the shorter time, and its step ends with it.
"""

import math

# An item of median length takes one second, and its trainer reads each half
# second: a step that is due sooner is taken to be late, in seconds.
MIN_ITEM_TIME_S = 1.5


def too_late_at(submitted_at, due_s):
    """Return from when on a new item of a batch comes too late.

    Parameters
    ----------
    submitted_at : float
        When the batch was submitted.
    due_s : float
        How long after that its results are due, 0 if never.
    """
    return submitted_at + due_s - MIN_ITEM_TIME_S if due_s else math.inf


def sort_key(sequence, is_late, has_text):
    """Return what sorts an item among those of all batches.

    Parameters
    ----------
    sequence : tuple
        Sorts its batch by the time of submission.
    is_late : bool
        Whether a new item of the batch comes too late.
    has_text : bool
        Whether the item has some text from before.
    """
    return (is_late and not has_text, sequence, not has_text)
