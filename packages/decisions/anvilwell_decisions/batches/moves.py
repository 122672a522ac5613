"""Decides whether moving a run to another replica pays, within a budget."""

import collections
import enum
import typing

# Cost of a move in seconds: the run is interrupted, its prompt is read again,
# and its text waits for the first event from the other replica.
MOVE_COST_S = 0.1
# A move has to save this much beyond its cost, in seconds, and twice as much
# for each earlier move of the item: estimates that were wrong once are trusted
# less.
MIN_GAIN_S = 0.2
# A run is moved only if the rest of it would take more than this many times as
# long at its present replica as at the other one, since the paces of replicas
# differ a little with their load.
MIN_TIME_RATIO = 1.1
# Number of moves that each started run adds to the budget. It is small because
# callers pay for the slots and the prompts of all repeated runs.
MOVES_PER_RUN = 0.06
# Upper limit of the budget, in moves. It is enough for the runs of half a
# dozen replicas that become slow at once.
MAX_SAVED_MOVES = 48.0
# Budget with which a new owner of batches starts, in moves.
INITIAL_SAVED_MOVES = 24.0
# Largest number of moved, incomplete items that are remembered. Items of ended
# batches never become complete, so the oldest are dropped.
MAX_TRACKED_ITEMS = 4096


class Cause(enum.StrEnum):
    """Why a run is moved to another replica."""

    FASTER = "a faster replica is free"
    MEMORY = "its replica's memory runs short"


class Move(typing.NamedTuple):
    """A `dispatch.Run` to move, and the time that this saves.

    The run still has ``remaining_events``, which would take ``stay_s`` at its
    present replica. The other replica reads its prompt and text, ``tokens`` as
    far as known, again.
    """

    run: typing.Any
    remaining_events: float
    stay_s: float
    gain_s: float
    tokens: float = 0.0
    cause: Cause = Cause.FASTER


def gain_s(stay_s, go_s, earlier_moves=0, min_gain_s=MIN_GAIN_S):
    """Return the time that a move saves, 0.0 if it isn't worthwhile.

    Parameters
    ----------
    stay_s : float
        Expected time for the rest of the run at its present replica, in
        seconds.
    go_s : float
        Expected time for the rest of the run at the other replica, in
        seconds, without the cost of the move.
    earlier_moves : int
        How often the item has been moved before.
    min_gain_s : float
        Least time that a first move has to save, see `MoveBudget`.
    """
    saved_s = stay_s - go_s - MOVE_COST_S
    is_worthwhile = saved_s > min_gain_s * 2**earlier_moves
    return saved_s if is_worthwhile and stay_s > MIN_TIME_RATIO * go_s else 0.0


class MoveBudget:
    """Limits the number of moves in proportion to the runs that start.

    Parameters
    ----------
    moves_per_run : float
        Moves allowed for each run that starts.
    """

    def __init__(self, moves_per_run=MOVES_PER_RUN):
        self._moves_per_run = moves_per_run
        self._saved = INITIAL_SAVED_MOVES

    @property
    def available(self):
        """Number of moves that may be made now."""
        return int(self._saved)

    @property
    def min_gain_s(self):
        """Least time a move has to save; it grows as the budget shrinks."""
        return MIN_GAIN_S * MAX_SAVED_MOVES / max(1.0, self._saved)

    def record_start(self):
        """Add the share of one started run to the budget."""
        self._saved = min(MAX_SAVED_MOVES, self._saved + self._moves_per_run)

    def spend(self, moves):
        """Subtract a number of moves from the budget."""
        self._saved -= moves


class MoveSavings(typing.NamedTuple):
    """What all moves of one item saved, compared to never moving it.

    ``tokens_again`` counts the tokens that other replicas had to read again.
    """

    moves: int
    expected_s: float
    gained_s: float
    tokens_again: float


class _ItemMoves(typing.NamedTuple):
    """The moves of an item whose text is not complete.

    ``events`` is the length of its text at the first move, made at ``at``;
    ``pace_s`` is the time that an event was expected to take from then on
    without any move.
    """

    moves: int
    at: float
    events: int
    pace_s: float
    expected_s: float
    tokens: float


class MoveHistory:
    """Remembers the moves of items whose texts are not complete."""

    def __init__(self):
        self._moves_by_item = collections.OrderedDict()

    def record(self, move, now):
        """Record a `Move` of an item's run."""
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
        """Forget an item whose text is complete; return its `MoveSavings`.

        The result is None if the item was never moved.
        """
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
