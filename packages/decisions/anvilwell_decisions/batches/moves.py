"""Which runs go on at another replica, for what gain, on what budget."""

import collections
import enum
import typing

# The run is cut, its prompt is read again, and its text waits for the
# first event there.
MOVE_COST_S = 0.1
# A move saves so much beyond its cost, and twice as much for each time
# that the item has moved before: estimates that were wrong once are
# believed less.
MIN_GAIN_S = 0.2
# And it takes so many times less time than to stay, as replicas differ by
# a little with the load.
MIN_TIME_RATIO = 1.1
# Runs that may be moved for each run that starts: callers pay for the
# places and prompts of all second runs.
MOVES_PER_RUN = 0.06
# Moves that may be saved up, for the runs of half a dozen replicas that
# turn slow at once.
MAX_SAVED_MOVES = 48.0
# Moves that a new holder begins with.
INITIAL_SAVED_MOVES = 24.0
# Items that moved and are not whole, the most that are remembered; those
# of ended batches never become whole.
MAX_TRACKED_ITEMS = 4096


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
    remaining_events: float
    stay_s: float
    gain_s: float
    tokens: float = 0.0
    cause: Cause = Cause.FASTER


def gain_s(stay_s, go_s, earlier_moves=0, min_gain_s=MIN_GAIN_S):
    """Return what a move saves, 0.0 if that is not worth it.

    Parameters
    ----------
    stay_s : float
        Expected time of what is left where the run is, in seconds.
    go_s : float
        The same at the other replica, without the move itself.
    earlier_moves : int
        How often the item has moved before.
    min_gain_s : float
        What it has to save, see `MoveBudget`.
    """
    saved_s = stay_s - go_s - MOVE_COST_S
    is_worthwhile = saved_s > min_gain_s * 2**earlier_moves
    return saved_s if is_worthwhile and stay_s > MIN_TIME_RATIO * go_s else 0.0


class MoveBudget:
    """How many runs may move now.

    Parameters
    ----------
    moves_per_run : float
        Moves for each run that starts.
    """

    def __init__(self, moves_per_run=MOVES_PER_RUN):
        self._moves_per_run = moves_per_run
        self._saved = INITIAL_SAVED_MOVES

    @property
    def available(self):
        """How many runs may move now."""
        return int(self._saved)

    @property
    def min_gain_s(self):
        """What a move has to save now; the more, the less is saved up."""
        return MIN_GAIN_S * MAX_SAVED_MOVES / max(1.0, self._saved)

    def record_start(self):
        """Count a run that starts."""
        self._saved = min(MAX_SAVED_MOVES, self._saved + self._moves_per_run)

    def spend(self, moves):
        """Count runs that are moved."""
        self._saved -= moves


class MoveSavings(typing.NamedTuple):
    """What the moves of one item brought, against staying each time."""

    moves: int
    expected_s: float
    gained_s: float
    tokens_again: float


class _ItemMoves(typing.NamedTuple):
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


class MoveHistory:
    """The moves of items that have not ended."""

    def __init__(self):
        self._moves_by_item = collections.OrderedDict()

    def record(self, move, now):
        """Take in a `Move` that is made."""
        run = move.run
        key = (run.batch_id, run.item_id)
        known = self._moves_by_item.pop(key, None)
        if known is None:
            pace_s = move.stay_s / move.remaining_events
            known = _ItemMoves(0, now, run.events, pace_s, 0.0, 0.0)
        self._moves_by_item[key] = known._replace(
            moves=known.moves + 1,
            expected_s=known.expected_s + move.gain_s,
            tokens=known.tokens + move.tokens,
        )
        if len(self._moves_by_item) > MAX_TRACKED_ITEMS:
            self._moves_by_item.popitem(last=False)

    def count(self, batch_id, item_id):
        """Return how often an item was moved."""
        item_moves = self._moves_by_item.get((batch_id, item_id))
        return item_moves.moves if item_moves else 0

    def pop_savings(self, batch_id, item_id, events, now):
        """Return the `MoveSavings` of a whole text, None if it never moved."""
        item_moves = self._moves_by_item.pop((batch_id, item_id), None)
        if item_moves is None:
            return None
        stayed_s = (events - item_moves.events) * item_moves.pace_s
        gained_s = stayed_s - (now - item_moves.at)
        return MoveSavings(
            item_moves.moves,
            item_moves.expected_s,
            gained_s,
            item_moves.tokens,
        )
