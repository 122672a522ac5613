"""The committed file of measured slopes."""

import importlib.resources

import pydantic
import typing_extensions

from anvilwell_decisions.capacity import lines

FILE = "slopes.json"


class RawLine(typing_extensions.TypedDict):
    """One act's raw points, ``[size, value]`` each."""

    act: str
    grows_with: str
    unit: str
    points: list[tuple[float, float]]


class Measurement(typing_extensions.TypedDict):
    """What one run of the slopes measured, and where."""

    machine: str
    python: str
    commit: str
    lines_by_name: dict[str, RawLine]


ADAPTER = pydantic.TypeAdapter(Measurement)


def read():
    """Return the committed `Measurement`."""
    package = importlib.resources.files("anvilwell_decisions.capacity")
    return ADAPTER.validate_json((package / FILE).read_bytes())


def lines_by_name(measurement):
    """Return the fitted lines of `measurement`."""
    return {
        name: lines.Line.from_points(name, **raw)
        for name, raw in measurement["lines_by_name"].items()
    }
