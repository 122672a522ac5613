"""Measured costs as straight lines in the size they grow with."""

import statistics
import typing


class Point(typing.NamedTuple):
    """One measured value at one size; repeats share a size."""

    size: float
    value: float


class Line(typing.NamedTuple):
    """The cost of one recurring act, fitted to measured points.

    Attributes
    ----------
    name : str
        Key of the act, such as ``entry.route.cpu``.
    act : str
        What is done, for people.
    grows_with : str
        What the size counts.
    unit : str
        Unit of the value.
    slope, intercept : float
        Value is ``intercept + slope * size``.
    spread : float
        Half the range of the slopes of single repeats, in the slope's
        unit.
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
        """Fit a line to `points`, a sequence of `Point`."""
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
    """Return the points as one list for each repeat of all sizes."""
    values_by_size = {}
    for point in points:
        values_by_size.setdefault(point.size, []).append(point)
    return list(zip(*values_by_size.values(), strict=True))
