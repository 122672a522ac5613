"""What an engine's memory holds of our runs, and will hold."""

import bisect
import typing

# Share of an engine's memory that the runs placed there may come to at
# their expected peak. An engine that runs out of memory reads its newest
# request again, and that is late; half of all lengths are longer than
# expected.
MARGIN_SHARE = 0.95
# From this share on what is held now is short of the whole: a run makes
# some three hundredths of an engine's memory in a look at all of them.
SHORT_SHARE = 0.9


class Holding(typing.NamedTuple):
    """What one run holds ``now``, and what of its text is ``left``.

    In tokens. ``shared`` of its prompt are those of all runs with the same
    ``shared_id``, are held once, and aren't part of ``now``.
    """

    now: float
    left: float
    shared_id: str = ""
    shared: int = 0


def holding(prompt, tokens_an_event, made, left):
    """Return the `Holding` of a run.

    Parameters
    ----------
    prompt : facts.Prompt
        What the item says of its prompt.
    tokens_an_event : float
        As far as it is known, else 0.0.
    made, left : float
        Events that the text has, and that are expected to come.
    """
    own = prompt.tokens - prompt.shared_tokens
    return Holding(
        own + tokens_an_event * made,
        tokens_an_event * left,
        prompt.shared_id,
        prompt.shared_tokens,
    )


class Memory:
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

    def add(self, one):
        """Take in the `Holding` of a run."""
        bisect.insort(self._runs, one, key=_left)
        if one.shared_id:
            self._shared_by_id[one.shared_id] = one.shared

    @property
    def is_short(self):
        """Whether the runs here are about to need more than there is."""
        held = sum(one.now for one in self._runs)
        held += sum(self._shared_by_id.values())
        return 0 < SHORT_SHARE * self._total < held

    def shares(self, shared_id):
        """Return whether runs here have the shared part of a prompt."""
        return shared_id in self._shared_by_id

    def fill(self, one):
        """Return the share of the memory at the peak with one more run.

        All texts grow alike, and a run's memory is free at its end; so
        there is a peak at the end of each.
        """
        if not self._total:
            return 0.0
        runs = sorted([*self._runs, one], key=_left)
        alive = len(runs)
        held = sum(run.now for run in runs)
        peak = held
        grown = 0.0
        for run in runs:
            held += alive * (run.left - grown)
            grown = run.left
            peak = max(peak, held)
            held -= run.now + run.left
            alive -= 1
        shared = self._shared_by_id | {one.shared_id: one.shared}
        return (peak + sum(shared.values())) / self._total

    def fits(self, one):
        """Return whether one more run keeps the margin."""
        return self.fill(one) <= MARGIN_SHARE


def _left(one):
    return one.left
