import pytest

from anvilwell_decisions.capacity import lines


def _line(points):
    return lines.Line.from_points("a", "act", "size", "us", points)


def test_exact_points_have_no_spread():
    line = _line([(1, 5), (2, 7), (4, 11), (1, 5), (2, 7), (4, 11)])

    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.spread == pytest.approx(0)
    assert line.at(10) == pytest.approx(23)


def test_spread_is_half_the_range_of_single_repeats():
    line = _line([(0, 0), (1, 1), (0, 0), (1, 3)])

    assert line.slope == pytest.approx(2)
    assert line.spread == pytest.approx(1)


def test_a_size_without_all_repeats_is_an_error():
    with pytest.raises(ValueError, match="shorter"):
        _line([(0, 0), (1, 1), (0, 0)])
