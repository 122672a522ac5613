"""What an engine's memory holds of our runs, and will hold."""

import bisect
import typing

# Share of an engine's memory that the runs placed there may come to at
# their expected peak. An engine that runs out of memory reads its newest
# request again, and that is late; half of all lengths are longer than
# expected.
MAX_PEAK_SHARE = 0.95
# From this share on what is held now is short of the whole: a run makes
# some three hundredths of an engine's memory in a look at all of them.
NEARLY_FULL_SHARE = 0.9


class MemoryDemand(typing.NamedTuple):
    """What one run holds ``now``, and what of its text is ``left``.

    In tokens. ``shared`` of its prompt are those of all runs with the same
    ``shared_id``, are held once, and aren't part of ``now``.
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
        What the item says of its prompt.
    tokens_per_event : float
        As far as it is known, else 0.0.
    made, left : float
        Events that the text has, and that are expected to come.
    """
    own = prompt.tokens - prompt.shared_tokens
    return MemoryDemand(
        own + tokens_per_event * events_made,
        tokens_per_event * remaining_events,
        prompt.shared_id,
        prompt.shared_tokens,
    )


class EngineMemory:
    """What the runs at one engine come to.

    Parameters
    ----------
    total : int
        The engine's memory in tokens, 0 if it is not known: then any run
        fits.
    """

    def __init__(self, total):
        self._total = total
        self._runs = []
        self._shared_by_id = {}

    def add(self, demand):
        """Take in the `MemoryDemand` of a run."""
        bisect.insort(self._runs, demand, key=_remaining)
        if demand.shared_id:
            self._shared_by_id[demand.shared_id] = demand.shared

    @property
    def is_nearly_full(self):
        """Whether the runs here are about to need more than there is."""
        held = sum(demand.held for demand in self._runs)
        held += sum(self._shared_by_id.values())
        return 0 < NEARLY_FULL_SHARE * self._total < held

    def has_shared_prompt(self, shared_id):
        """Return whether runs here have the shared part of a prompt."""
        return shared_id in self._shared_by_id

    def peak_share(self, demand):
        """Return the share of the memory at the peak with one more run.

        All texts grow alike, and a run's memory is free at its end; so
        there is a peak at the end of each.
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
        """Return whether one more run keeps the margin."""
        return self.peak_share(demand) <= MAX_PEAK_SHARE


def _remaining(demand):
    return demand.remaining
