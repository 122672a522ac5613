"""Makes `duty_simulation` importable for the tests in this folder."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
