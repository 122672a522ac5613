"""Shared test settings: derandomized Hypothesis profiles."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "fuzz", max_examples=20000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
