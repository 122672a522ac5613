"""How replicas stream events, for batches and for live callers."""

# Each event is a block of lines that a blank line ends.
BLOCK_END = b"\n\n"
MAX_BLOCK_BYTES = 1 << 20
# Without a head or an event for so long, a run goes on elsewhere, in
# seconds. Events come every 40 ms, every 150 ms from a slow replica, and
# pause for about 0.4 s while it loads weights.
STALL_TIMEOUT_S = 0.8
