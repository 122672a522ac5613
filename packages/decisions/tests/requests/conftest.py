"""Makes helper modules of this folder importable by the tests."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parent))
