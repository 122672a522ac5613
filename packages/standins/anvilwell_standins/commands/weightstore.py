"""Serves the weight store."""

import collections

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins import weightstore as weightstores

PUBLISHED = flags.DEFINE_multi_string(
    "published", [], "model=version published at the start; repeat for each."
)
RATE = flags.DEFINE_float(
    "rate", 0.0, "Fetches of weights a second; 0 for no limit."
)
BURST = flags.DEFINE_float("burst", 1.0, "Fetches that may come at once.")


def weightstore(argv):
    """Serve until a signal."""
    versions_by_model = collections.defaultdict(list)
    for text in PUBLISHED.value:
        model, _, version = text.partition("=")
        versions_by_model[model].append(version)
    return serving.serve(
        weightstores.WeightStore(
            versions_by_model,
            rate=RATE.value,
            burst=BURST.value,
            **serving.arguments("weightstore"),
        )
    )


@flags.validator("published", "give model=version")
def _are_versions(texts):
    return all("=" in text for text in texts)
