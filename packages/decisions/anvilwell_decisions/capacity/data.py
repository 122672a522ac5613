"""Reads the committed file of measured costs."""

import importlib.resources

import pydantic
import typing_extensions

from anvilwell_decisions.capacity import lines

FILE = "slopes.json"


class RawLine(typing_extensions.TypedDict):
    """The raw points measured for one act, each as ``[size, value]``."""

    act: str
    grows_with: str
    unit: str
    points: list[tuple[float, float]]


class Measurement(typing_extensions.TypedDict):
    """The results of one measuring run, with its environment."""

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
    """Return the lines fitted to the points of `measurement`, by name."""
    return {
        name: lines.Line.from_points(name, **raw)
        for name, raw in measurement["lines_by_name"].items()
    }
