"""A budget goes to the moves that save most."""

import types

from anvilwell_decisions.batches import moves
import pytest

NOW = 100.0


def _move(item_id="i", stay_s=5.0, gain_s=2.0, left=50, events=10):
    run = types.SimpleNamespace(batch_id="b", item_id=item_id, events=events)
    return moves.Move(run, left, stay_s, gain_s, 300.0)


@pytest.mark.parametrize(
    ("stay_s", "go_s", "earlier_moves", "is_worthwhile"),
    [
        (1.0, 0.5, 0, True),
        # It costs as much as it saves.
        (0.35, 0.1, 0, False),
        # Paces that differ by a little.
        (6.0, 5.0, 0, True),
        (5.4, 5.0, 0, False),
        # It moved twice before, for nothing so far.
        (1.0, 0.5, 2, False),
        (2.0, 0.5, 2, True),
    ],
)
def test_a_move_saves_more_than_it_costs(
    stay_s, go_s, earlier_moves, is_worthwhile
):
    assert bool(moves.gain_s(stay_s, go_s, earlier_moves)) == is_worthwhile


def test_all_moves_together_are_a_share_of_the_runs():
    """Forty replicas' runs are slow at once: moves stay on their budget."""
    budget = moves.MoveBudget()
    made = 0
    for _ in range(2000):
        budget.record_start()
        asked = min(40, budget.available)
        budget.spend(asked)
        made += asked

    most = moves.INITIAL_SAVED_MOVES + moves.MOVES_PER_RUN * 2000
    assert made == pytest.approx(most, abs=1.0)


def test_what_is_left_of_a_budget_goes_to_the_greater_gains():
    budget = moves.MoveBudget()
    for _ in range(1000):
        budget.record_start()
    min_gain_s = budget.min_gain_s
    budget.spend(3 * moves.MAX_SAVED_MOVES / 4)

    assert min_gain_s == pytest.approx(moves.MIN_GAIN_S)
    assert budget.min_gain_s == pytest.approx(4 * min_gain_s)


def test_what_moves_brought_is_told_when_the_text_is_whole():
    history = moves.MoveHistory()
    history.record(_move(), NOW)
    history.record(_move(gain_s=1.0, events=20), NOW + 1.0)

    assert history.count("b", "i") == 2
    savings = history.pop_savings("b", "i", 60, NOW + 3.0)
    # Fifty events at 0.1 s would have taken 5.0 s.
    assert savings == moves.MoveSavings(2, 3.0, pytest.approx(2.0), 600.0)
    assert history.pop_savings("b", "i", 60, NOW + 3.0) is None
    assert history.count("b", "i") == 0


def test_a_move_to_a_replica_that_was_slower_after_all_has_cost_time():
    history = moves.MoveHistory()
    history.record(_move(), NOW)

    assert history.pop_savings("b", "i", 60, NOW + 8.0).gained_s < 0.0
