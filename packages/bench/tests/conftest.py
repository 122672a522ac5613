"""Lets the tests import the helpers beside them."""

import pathlib
import sys

_HERE = pathlib.Path(__file__).parent
sys.path += [str(_HERE / "audit"), str(_HERE / "sessions")]
