"""The budget goes to the moves that save most time."""

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
        # The move costs as much as it saves.
        (0.35, 0.1, 0, False),
        # Paces that differ only a little.
        (6.0, 5.0, 0, True),
        (5.4, 5.0, 0, False),
        # The item was moved twice before, which lowers the trust.
        (1.0, 0.5, 2, False),
        (2.0, 0.5, 2, True),
    ],
)
def test_a_move_has_to_save_more_than_it_costs(
    stay_s, go_s, earlier_moves, is_worthwhile
):
    assert bool(moves.gain_s(stay_s, go_s, earlier_moves)) == is_worthwhile


def test_the_budget_limits_moves_to_a_share_of_the_runs():
    """The runs of forty replicas are slow at once."""
    budget = moves.MoveBudget()
    total = 0
    for _ in range(2000):
        budget.record_start()
        moved = min(40, budget.available)
        budget.spend(moved)
        total += moved

    expected = moves.INITIAL_SAVED_MOVES + moves.MOVES_PER_RUN * 2000
    assert total == pytest.approx(expected, abs=1.0)


def test_a_smaller_budget_requires_greater_gains():
    budget = moves.MoveBudget()
    for _ in range(1000):
        budget.record_start()
    min_gain_s = budget.min_gain_s
    budget.spend(3 * moves.MAX_SAVED_MOVES / 4)

    assert min_gain_s == pytest.approx(moves.MIN_GAIN_S)
    assert budget.min_gain_s == pytest.approx(4 * min_gain_s)


def test_savings_are_known_once_the_text_is_complete():
    history = moves.MoveHistory()
    history.record(_move(), NOW)
    history.record(_move(gain_s=1.0, events=20), NOW + 1.0)

    assert history.count("b", "i") == 2
    savings = history.pop_savings("b", "i", 60, NOW + 3.0)
    # Fifty events at 0.1 s would have taken 5.0 s.
    assert savings == moves.MoveSavings(2, 3.0, pytest.approx(2.0), 600.0)
    assert history.pop_savings("b", "i", 60, NOW + 3.0) is None
    assert history.count("b", "i") == 0


def test_a_move_to_a_slower_replica_has_negative_savings():
    history = moves.MoveHistory()
    history.record(_move(), NOW)

    assert history.pop_savings("b", "i", 60, NOW + 8.0).gained_s < 0.0
