"""Trains one run through the entries."""

import json
import sys

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins.programs import checkpoint
from anvilwell_standins.programs import entries
from anvilwell_standins.programs import steps
from anvilwell_standins.programs import trainer as trainers

ENTRIES = flags.DEFINE_list(
    "entries", None, "Entries: name=ip:port, or ip:port.", required=True
)
RUN = flags.DEFINE_string("run", "autumn", "Name of the run.")
SERVICE = flags.DEFINE_string("service", "planner-lm", "Model service.")
MODEL = flags.DEFINE_string("model", "planner", "Model in the weight store.")
WEIGHT_STORE = flags.DEFINE_string(
    "weight-store", "", "ip:port of the weight store; empty for none."
)
STEPS = flags.DEFINE_integer("steps", 3, "Steps to train.")
GROUPS = flags.DEFINE_integer("groups", 4, "Groups a step.")
SAMPLES = flags.DEFINE_integer("samples", 4, "Samples a group.")
MAX_TOKENS = flags.DEFINE_integer("max-tokens", 64, "Longest sample.")
AHEAD = flags.DEFINE_integer("ahead", 1, "Steps submitted early.")
BOUND = flags.DEFINE_integer(
    "staleness-bound", 2, "The document's bound, for the record."
)
VERSION_EVERY = flags.DEFINE_integer(
    "version-every", 1, "Steps for each new version.", lower_bound=1
)
TRAIN_MS = flags.DEFINE_float("train-ms", 100, "Milliseconds a step takes.")
LIMIT_S = flags.DEFINE_float("limit-s", 120, "Gives up after these seconds.")
CRASH_STEPS = flags.DEFINE_multi_integer(
    "crash-step", [], "Crash at the first samples of this step; repeat."
)
STATE = flags.DEFINE_string("state", "", "File that survives a restart.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of the samples.")

_MS_PER_S = 1000.0


def trainer(argv):
    """Train all steps; exit 1 if a sample is wrong or missing."""
    store = WEIGHT_STORE.value
    program = trainers.Trainer(
        _plan(),
        entries.Entries(map(entries.parse_entry, ENTRIES.value)),
        serving.open_record("trainer"),
        checkpoint.Checkpoint(STATE.value),
        f"http://{store}" if store else "",
    )
    try:
        summary = program.run()
    except trainers.Failed as error:
        print(f"trainer {RUN.value}: {error}", file=sys.stderr)
        return 1
    print(json.dumps(summary._asdict()), flush=True)
    return 0


def _plan():
    return steps.Plan(
        run=RUN.value,
        service=SERVICE.value,
        model=MODEL.value,
        steps=STEPS.value,
        groups=GROUPS.value,
        samples=SAMPLES.value,
        max_tokens=MAX_TOKENS.value,
        seed=SEED.value,
        ahead=AHEAD.value,
        staleness_bound=BOUND.value,
        version_every=VERSION_EVERY.value,
        train_s=TRAIN_MS.value / _MS_PER_S,
        limit_s=LIMIT_S.value,
        crash_steps=frozenset(CRASH_STEPS.value),
    )
