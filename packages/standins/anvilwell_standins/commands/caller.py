"""Runs live callers against the entries."""

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins.programs import caller as callers
from anvilwell_standins.programs import entries

ENTRIES = flags.DEFINE_list(
    "entries", None, "Entries: name=ip:port, or ip:port.", required=True
)
MODEL = flags.DEFINE_string("service", "planner-lm", "Model service.")
PLAIN = flags.DEFINE_string("plain", "stops-app", "Plain service.")
CALLERS = flags.DEFINE_integer("callers", 4, "Callers at a time.")
SECONDS = flags.DEFINE_float("seconds", 10, "Asks no more after these.")
ASKS = flags.DEFINE_integer("asks", 0, "Asks of each caller; 0: no limit.")
STREAMS = flags.DEFINE_integer("streams", 1, "Weight of streams.")
LOOKUPS = flags.DEFINE_integer("lookups", 1, "Weight of look-ups.")
NOTICES = flags.DEFINE_integer("notices", 1, "Weight of notices.")
MAX_TOKENS = flags.DEFINE_integer("max-tokens", 32, "Length of a stream.")
DEADLINE_S = flags.DEFINE_float("deadline-s", 20, "Deadline of each ask.")
PAUSE_MS = flags.DEFINE_float("pause-ms", 50, "Mean pause between asks.")
RETRIES = flags.DEFINE_integer("retries", 4, "Repeats of a failed ask.")
TEAM = flags.DEFINE_string("team", "", "Team to name in each ask.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of what is asked.")

_MS_PER_S = 1000.0


def caller(argv):
    """Ask until the time is over or a signal; exit 1 on a wrong answer."""
    plan = callers.Plan(
        model=MODEL.value,
        plain=PLAIN.value,
        callers=CALLERS.value,
        seconds=SECONDS.value,
        asks_each=ASKS.value,
        weights=(STREAMS.value, LOOKUPS.value, NOTICES.value),
        max_tokens=MAX_TOKENS.value,
        deadline_s=DEADLINE_S.value,
        pause_s=PAUSE_MS.value / _MS_PER_S,
        retries=RETRIES.value,
        seed=SEED.value,
        team=TEAM.value,
    )
    program = callers.Callers(
        plan,
        entries.Entries(map(entries.parse_entry, ENTRIES.value)),
        serving.open_record("caller"),
        serving.until_signal(),
    )
    tally = program.run()
    print("\n".join(tally.lines()), flush=True)
    return 1 if tally.wrong else 0
