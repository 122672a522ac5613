"""What the figures take for granted and nobody has stated.

Each is named on the capacity page. The limits of the key-value service
are the users' own words: several hundred writes and about two thousand
reads a second.
"""

KEYVALUE_WRITES_S = 300.0
KEYVALUE_READS_S = 2_000.0
KEYVALUE_WATCHES = 200.0
KEYVALUE_VALUE_BYTES = 1e6

# Most of a core that a daemon of one process can spend on its data path.
DATA_PATH_CORES = 1.0
# Tokens a second of one stream, so that open streams follow from load.
STREAM_TOKENS_S = 50.0
# Agents of each service that an entry needs links to.
LINKS_A_SERVICE = 3.0
# Bytes of websocket, TCP and IP around each message.
HEADER_BYTES = 46.0
# Share of the requests that must not be repeated.
CLAIM_SHARE = 0.001
HARD_CLAIM_SHARE = 0.01
# Entries of a run's log for each sample: chosen, and acknowledged.
LOG_ENTRIES_SAMPLE = 2.0
# State changes of a member that is replaced: leaving, dead, live.
CHANGES_REPLACED = 3.0
# Seconds that an engine takes to swap to a version that it has loaded.
ENGINE_SWAP_S = 2.0
# Share of replicas that stays in service during a swap.
LIVE_FLOOR = 0.5
# VMs of one rack.
RACK_VMS = 40.0
# Bytes of a generated sample.
SAMPLE_BYTES = 32_000.0
# Bytes of a token's text.
TOKEN_BYTES = 4.0
# Members of the largest service, as a share of the replicas.
LARGEST_SERVICE = 0.5
# One GiB of weights for each accelerator of a replica.
REPLICA_WEIGHT_GIB = 8.0
