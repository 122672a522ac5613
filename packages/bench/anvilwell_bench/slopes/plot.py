"""Draws the measured points and their lines."""

import math

import matplotlib
from matplotlib import figure

COLUMNS = 3
WIDTH_IN = 4.0
HEIGHT_IN = 2.8
HASH_SALT = "anvilwell"


def draw(lines_by_name, path):
    """Write an SVG at `path` with a small plot for each line.

    Parameters
    ----------
    lines_by_name : dict of str to lines.Line
    path : str or path-like
    """
    matplotlib.rcParams["svg.hashsalt"] = HASH_SALT
    rows = math.ceil(len(lines_by_name) / COLUMNS)
    sheet = figure.Figure(
        figsize=(COLUMNS * WIDTH_IN, rows * HEIGHT_IN), layout="constrained"
    )
    axes = list(sheet.subplots(rows, COLUMNS, squeeze=False).flat)
    for axis in axes:
        axis.set_visible(False)
    for axis, line in zip(axes, lines_by_name.values(), strict=False):
        _draw_line(axis, line)
    sheet.savefig(path, format="svg", metadata={"Date": None})


def _draw_line(axis, line):
    sizes = [point.size for point in line.points]
    axis.set_visible(True)
    axis.plot(sizes, [point.value for point in line.points], "o", ms=3)
    ends = [min(sizes), max(sizes)]
    axis.plot(ends, [line.at(size) for size in ends], "-", lw=1)
    axis.set_title(line.name, fontsize=8)
    axis.set_xlabel(line.grows_with, fontsize=7)
    axis.set_ylabel(line.unit, fontsize=7)
    axis.tick_params(labelsize=6)
