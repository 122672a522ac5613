"""Checks the calls made by the holders of a duty, as the platform does."""

import typing


class Call(typing.NamedTuple):
    """A call that the platform received.

    It ``is_excused`` if it arrived right after its sender was suspended.
    """

    at: float
    holder: str
    fencing: int
    window: int
    counts: dict
    is_excused: bool = False


def find_breaches(calls, turn_s):
    """Return a line for each rule that the `calls` of a duty break."""
    checked = [call for call in calls if not call.is_excused]
    found = []
    counts_by_window = {}
    holders_by_fencing = {}
    highest = 0
    for call in calls:
        known = counts_by_window.setdefault(call.window, call.counts)
        if known != call.counts:
            found.append(
                f"window {call.window} was reported twice, and differs"
            )
    for call in checked:
        holder = holders_by_fencing.setdefault(call.fencing, call.holder)
        if holder != call.holder:
            found.append(f"two holders have the fencing number {call.fencing}")
        if call.fencing < highest:
            found.append(f"fencing number {call.fencing} came after {highest}")
        highest = max(highest, call.fencing)
    return found + _find_alternations(checked, turn_s)


def _find_alternations(calls, turn_s):
    """Return a line for each holder that acts again within `turn_s`."""
    return [
        f"{first.holder}, {between.holder}, {last.holder} alternated"
        for number, last in enumerate(calls)
        for position, first in enumerate(calls[:number])
        for between in calls[position + 1 : number]
        if first.holder == last.holder != between.holder
        and last.at - first.at <= turn_s
    ]
