"""Models measured costs as linear functions of a size."""

import statistics
import typing


class Point(typing.NamedTuple):
    """A value measured at a size; each repeat has the same sizes."""

    size: float
    value: float


class Line(typing.NamedTuple):
    """The cost of a recurring act, as a line fitted to measured points.

    Attributes
    ----------
    name : str
        Key of the act, such as ``entry.route.cpu``.
    act : str
        Description of the act.
    grows_with : str
        Description of the size.
    unit : str
        Unit of the value.
    slope, intercept : float
        The value is ``intercept + slope * size``.
    spread : float
        Half the range of the slopes fitted to single repeats, in the unit of
        the slope.
    points : tuple of Point
        The measured points.
    """

    name: str
    act: str
    grows_with: str
    unit: str
    slope: float
    intercept: float
    spread: float
    points: tuple

    @classmethod
    def from_points(cls, name, act, grows_with, unit, points):
        """Fit a line to `points`, a sequence of ``(size, value)``."""
        points = tuple(Point(*point) for point in points)
        slope, intercept = _fit(points)
        return cls(
            name,
            act,
            grows_with,
            unit,
            slope,
            intercept,
            _spread(points),
            points,
        )

    def at(self, size):
        """Return the fitted value at `size`."""
        return self.intercept + self.slope * size


def _fit(points):
    fitted = statistics.linear_regression(
        [point.size for point in points], [point.value for point in points]
    )
    return fitted.slope, fitted.intercept


def _spread(points):
    slopes = [_fit(repeat)[0] for repeat in _repeats(points)]
    return (max(slopes) - min(slopes)) / 2


def _repeats(points):
    """Group the points by repeat; each group has one point per size."""
    values_by_size = {}
    for point in points:
        values_by_size.setdefault(point.size, []).append(point)
    return list(zip(*values_by_size.values(), strict=True))
