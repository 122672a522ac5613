"""Shared test settings: Hypothesis profiles, log lines of one test alone."""

import os

import eliot
import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "fuzz", max_examples=20000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def _drop_early_lines(line):
    """Take what eliot keeps for the first destination, and forget it."""


# Until a destination is added, eliot keeps the first thousand lines and
# gives them to the first that is: a test would find those of earlier ones.
eliot.add_destinations(_drop_early_lines)
eliot.remove_destination(_drop_early_lines)
