"""Judges the calls of a duty as the platform's owners do."""

import typing


class Call(typing.NamedTuple):
    """A call that the platform took.

    What arrives right after its sender was suspended is ``is_excused``.
    """

    at: float
    holder: str
    fencing: int
    window: int
    counts: dict
    is_excused: bool = False


def find_breaches(calls, turn_s):
    """Return a line for each broken rule among `calls` of one duty."""
    judged = [call for call in calls if not call.is_excused]
    found = []
    counts_by_window = {}
    holders_by_fencing = {}
    highest = 0
    for call in calls:
        known = counts_by_window.setdefault(call.window, call.counts)
        if known != call.counts:
            found.append(f"window {call.window} was told twice, differently")
    for call in judged:
        holder = holders_by_fencing.setdefault(call.fencing, call.holder)
        if holder != call.holder:
            found.append(f"two holders have the number {call.fencing}")
        if call.fencing < highest:
            found.append(f"{call.fencing} came after {highest}")
        highest = max(highest, call.fencing)
    return found + _turns(judged, turn_s)


def _turns(calls, turn_s):
    """Return a line for each holder that acts again within `turn_s`."""
    return [
        f"{first.holder}, {between.holder}, {last.holder} took turns"
        for number, last in enumerate(calls)
        for place, first in enumerate(calls[:number])
        for between in calls[place + 1 : number]
        if first.holder == last.holder != between.holder
        and last.at - first.at <= turn_s
    ]
