from anvilwell_bench.slopes import check
from anvilwell_decisions.capacity import lines


def _lines(slope):
    points = [(0, 0.0), (1, slope), (0, 0.0), (1, slope)]
    line = lines.Line.from_points("a", "act", "size", "us", points)
    return {"a": line}


def test_same_slope_is_no_difference():
    assert check.differences(_lines(2.0), _lines(2.0)) == []


def test_slope_outside_the_tolerance_is_named():
    (found,) = check.differences(_lines(2.0), _lines(4.0))

    assert found.name == "a"
    assert found.before == 2.0
    assert found.after == 4.0
