"""Which runs go on at another replica, for what gain, on what budget."""

import collections
import enum
import typing

# The run is cut, its prompt is read again, and its text waits for the
# first event there.
COST_S = 0.1
# A move saves so much beyond its cost, and twice as much for each time
# that the item has moved before: estimates that were wrong once are
# believed less.
LEAST_GAIN_S = 0.2
# And it takes so many times less time than to stay, as replicas differ by
# a little with the load.
LEAST_RATIO = 1.1
# Runs that may be moved for each run that starts: callers pay for the
# places and prompts of all second runs.
SHARE = 0.06
# Moves that may be saved up, for the runs of half a dozen replicas that
# turn slow at once.
MOST_SAVED = 48.0
# Moves that a new holder begins with.
FIRST_SAVED = 24.0
# Items that moved and are not whole, the most that are remembered; those
# of ended batches never become whole.
MOVED_KEPT = 4096


class Cause(enum.StrEnum):
    """Why a run goes on elsewhere."""

    FASTER = "a faster replica is free"
    MEMORY = "its replica's memory runs short"


class Move(typing.NamedTuple):
    """A `dispatch.Run` that should go on elsewhere, and what that saves.

    It has ``left`` events, and would take ``stay_s`` for them; its prompt
    and text, ``tokens`` as far as known, are read again.
    """

    run: typing.Any
    left: float
    stay_s: float
    gain_s: float
    tokens: float = 0.0
    cause: Cause = Cause.FASTER


def gain_s(stay_s, go_s, moved=0, least_s=LEAST_GAIN_S):
    """Return what a move saves, 0.0 if that is not worth it.

    Parameters
    ----------
    stay_s : float
        Expected time of what is left where the run is, in seconds.
    go_s : float
        The same at the other replica, without the move itself.
    moved : int
        How often the item has moved before.
    least_s : float
        What it has to save, see `Budget`.
    """
    saved_s = stay_s - go_s - COST_S
    is_worth = saved_s > least_s * 2**moved
    return saved_s if is_worth and stay_s > LEAST_RATIO * go_s else 0.0


class Budget:
    """How many runs may move now.

    Parameters
    ----------
    share : float
        Moves for each run that starts.
    """

    def __init__(self, share=SHARE):
        self._share = share
        self._saved = FIRST_SAVED

    @property
    def moves(self):
        """How many runs may move now."""
        return int(self._saved)

    @property
    def least_gain_s(self):
        """What a move has to save now; the more, the less is saved up."""
        return LEAST_GAIN_S * MOST_SAVED / max(1.0, self._saved)

    def started(self):
        """Count a run that starts."""
        self._saved = min(MOST_SAVED, self._saved + self._share)

    def spend(self, moves):
        """Count runs that are moved."""
        self._saved -= moves


class Brought(typing.NamedTuple):
    """What the moves of one item brought, against staying each time."""

    moves: int
    expected_s: float
    gained_s: float
    tokens_again: float


class _Since(typing.NamedTuple):
    """The moves of an item that has not ended.

    ``events`` is what its text had at the first of them, ``pace_s`` how
    long an event was to take from then on without it.
    """

    moves: int
    at: float
    events: int
    pace_s: float
    expected_s: float
    tokens: float


class Moved:
    """The moves of items that have not ended."""

    def __init__(self):
        self._since_by_item = collections.OrderedDict()

    def moved(self, move, now):
        """Take in a `Move` that is made."""
        run = move.run
        key = (run.batch_id, run.item_id)
        known = self._since_by_item.pop(key, None)
        if known is None:
            pace_s = move.stay_s / move.left
            known = _Since(0, now, run.events, pace_s, 0.0, 0.0)
        self._since_by_item[key] = known._replace(
            moves=known.moves + 1,
            expected_s=known.expected_s + move.gain_s,
            tokens=known.tokens + move.tokens,
        )
        if len(self._since_by_item) > MOVED_KEPT:
            self._since_by_item.popitem(last=False)

    def times(self, batch_id, item_id):
        """Return how often an item was moved."""
        since = self._since_by_item.get((batch_id, item_id))
        return since.moves if since else 0

    def ended(self, batch_id, item_id, events, now):
        """Return what the moves of a whole text `Brought`, None if none."""
        since = self._since_by_item.pop((batch_id, item_id), None)
        if since is None:
            return None
        stayed_s = (events - since.events) * since.pace_s
        gained_s = stayed_s - (now - since.at)
        return Brought(since.moves, since.expected_s, gained_s, since.tokens)
