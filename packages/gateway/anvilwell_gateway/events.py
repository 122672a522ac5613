"""Constants of the event streams of replicas."""

# Each event is a block of lines that ends with a blank line.
BLOCK_END = b"\n\n"
# Limit of one event, in bytes.
MAX_BLOCK_BYTES = 1 << 20
# Longest wait for a response head or the next event, in seconds; after it the
# run continues at another replica. It is longer than the pause in which a
# replica loads weights, about 0.4 s, and many times the interval between
# events.
STALL_TIMEOUT_S = 0.8
