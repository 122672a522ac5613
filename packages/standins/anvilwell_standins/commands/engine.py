"""Serves the model engine."""

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins.engine import server
from anvilwell_standins.engine import weights

MODEL = flags.DEFINE_string("model", "planner", "Model in the weight store.")
VERSION = flags.DEFINE_string("version", "1", "Version active at the start.")
WEIGHT_STORE = flags.DEFINE_string(
    "weight-store", "", "host:port of the weight store; empty for none."
)
FENCING = flags.DEFINE_enum(
    "fencing", "check", ["check", "ignore"], "What old numbers meet."
)
SLOTS = flags.DEFINE_integer("slots", 8, "Samples at a time.", lower_bound=1)
TOKEN_MS = flags.DEFINE_float("token-ms", 5.0, "Milliseconds a tick.")
TOKENS_PER_TICK = flags.DEFINE_integer(
    "tokens-per-tick", 1, "Tokens that each sample gains in a tick."
)
PREFILL_MS = flags.DEFINE_float(
    "prefill-ms", 0.0, "Milliseconds a prompt block that is not cached."
)
CACHE_BLOCKS = flags.DEFINE_integer("cache-blocks", 256, "Cached blocks.")
LENGTHS = flags.DEFINE_enum(
    "lengths", "full", ["full", "tail"], "All max_tokens, or Pareto lengths."
)
LOAD_LAG = flags.DEFINE_float("load-lag", 0.0, "Lag of the load, seconds.")
LOAD_MS = flags.DEFINE_float("load-ms", 0.0, "Milliseconds a weight load.")
SWAP_MS = flags.DEFINE_float("swap-ms", 0.0, "Milliseconds an activation.")
EVENT_LAG = flags.DEFINE_float("event-lag", 0.0, "Lag of events, seconds.")
EVENT_GAP = flags.DEFINE_float("event-gap", 0.0, "Share of events lost.")
SEED = flags.DEFINE_integer("seed", 0, "Seed of the gaps.")

_MS_PER_S = 1000.0


def engine(argv):
    """Serve until a signal."""
    store = WEIGHT_STORE.value
    held = weights.Weights(
        MODEL.value,
        VERSION.value,
        store_url=f"http://{store}" if store else "",
        check_fencing=FENCING.value == "check",
        load_s=LOAD_MS.value / _MS_PER_S,
        swap_s=SWAP_MS.value / _MS_PER_S,
    )
    shape = server.Shape(
        slots=SLOTS.value,
        token_s=TOKEN_MS.value / _MS_PER_S,
        tokens_per_tick=TOKENS_PER_TICK.value,
        prefill_s=PREFILL_MS.value / _MS_PER_S,
        cache_blocks=CACHE_BLOCKS.value,
        length_tail=LENGTHS.value == "tail",
        load_lag_s=LOAD_LAG.value,
        event_lag_s=EVENT_LAG.value,
        event_gap=EVENT_GAP.value,
        seed=SEED.value,
    )
    return serving.serve(
        server.Engine(held, shape, **serving.arguments("engine"))
    )
