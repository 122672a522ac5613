"""Estimates how much of an engine's memory the runs of this entry use."""

import bisect
import typing

# Largest share of an engine's memory that the runs assigned to it may need at
# their expected peak. An engine that runs out of memory preempts its newest
# request and reads its prompt again, which delays it; and half of all lengths
# exceed the expected one.
MAX_PEAK_SHARE = 0.95
# Share of an engine's memory above which the memory counts as nearly full. The
# margin is for what a run adds between two checks of all runs.
NEARLY_FULL_SHARE = 0.9


class MemoryDemand(typing.NamedTuple):
    """Memory that a run holds now, and that the rest of its text will take.

    All numbers are in tokens. ``shared`` tokens of the prompt are common to
    all runs with the same ``shared_id``. They are held once for all of these,
    and are not part of ``held``.
    """

    held: float
    remaining: float
    shared_id: str = ""
    shared: int = 0


def memory_demand(prompt, tokens_per_event, events_made, remaining_events):
    """Return the `MemoryDemand` of a run.

    Parameters
    ----------
    prompt : facts.Prompt
        Size of the item's prompt.
    tokens_per_event : float
        Tokens of one event, 0.0 if unknown.
    events_made, remaining_events : float
        Events that the text has, and that are still expected.
    """
    own = prompt.tokens - prompt.shared_tokens
    return MemoryDemand(
        own + tokens_per_event * events_made,
        tokens_per_event * remaining_events,
        prompt.shared_id,
        prompt.shared_tokens,
    )


class EngineMemory:
    """The memory demand of the runs at one engine.

    Parameters
    ----------
    total : int
        Memory of the engine in tokens. If it is 0 (unknown), any run fits.
    """

    def __init__(self, total):
        self._total = total
        self._runs = []
        self._shared_by_id = {}

    def add(self, demand):
        """Add the `MemoryDemand` of a run."""
        bisect.insort(self._runs, demand, key=_remaining)
        if demand.shared_id:
            self._shared_by_id[demand.shared_id] = demand.shared

    @property
    def is_nearly_full(self):
        """Whether the runs are about to need more memory than there is."""
        held = sum(demand.held for demand in self._runs)
        held += sum(self._shared_by_id.values())
        return 0 < NEARLY_FULL_SHARE * self._total < held

    def has_shared_prompt(self, shared_id):
        """Return whether a run at this engine holds a shared prompt part."""
        return shared_id in self._shared_by_id

    def peak_share(self, demand):
        """Return the share of memory used at the peak if a run is added.

        All texts grow at the same rate, and a run frees its memory when it
        ends; so the use has a local peak at the end of each run.
        """
        if not self._total:
            return 0.0
        runs = sorted([*self._runs, demand], key=_remaining)
        alive = len(runs)
        held = sum(run.held for run in runs)
        peak = held
        grown = 0.0
        for run in runs:
            held += alive * (run.remaining - grown)
            grown = run.remaining
            peak = max(peak, held)
            held -= run.held + run.remaining
            alive -= 1
        shared = self._shared_by_id | {demand.shared_id: demand.shared}
        return (peak + sum(shared.values())) / self._total

    def fits(self, demand):
        """Return whether memory suffices at the peak if a run is added."""
        return self.peak_share(demand) <= MAX_PEAK_SHARE


def _remaining(demand):
    return demand.remaining
