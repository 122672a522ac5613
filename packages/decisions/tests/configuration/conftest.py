"""Lets the tests in this directory import the simulation they share."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
