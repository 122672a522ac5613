"""Assumptions that the capacity figures rest on.

None of them was stated as a requirement, except the limits of the key-value
service: users gave several hundred writes and about two thousand reads a
second. The capacity page lists all of them by name.
"""

KEYVALUE_WRITES_S = 300.0
KEYVALUE_READS_S = 2_000.0
KEYVALUE_WATCHES = 200.0
KEYVALUE_VALUE_BYTES = 1e6

# Cores that a daemon can use for its data path; it is a single process.
DATA_PATH_CORES = 1.0
# Tokens a second of one stream; gives the number of open streams of a load.
STREAM_TOKENS_S = 50.0
# Agents of each service that an entry must at least be connected to.
LINKS_A_SERVICE = 3.0
# Bytes of the websocket, TCP and IP headers of each message.
HEADER_BYTES = 46.0
# Share of requests that must not be executed twice and so need a claim: the
# expected share and a larger one.
CLAIM_SHARE = 0.001
HARD_CLAIM_SHARE = 0.01
# Entries in a run's log for each sample: one for the choice of its result and
# one for the acknowledgement.
LOG_ENTRIES_SAMPLE = 2.0
# Membership changes for each VM that is replaced: leaving, dead, live.
CHANGES_REPLACED = 3.0
# Seconds that an engine needs to activate a version that it has loaded.
ENGINE_SWAP_S = 2.0
# Share of replicas that stay in service during a rollout.
LIVE_FLOOR = 0.5
# VMs in one rack.
RACK_VMS = 40.0
# Size of a generated sample in bytes.
SAMPLE_BYTES = 32_000.0
# Size of the text of one token in bytes.
TOKEN_BYTES = 4.0
# Members of the largest service, as a share of the replicas.
LARGEST_SERVICE = 0.5
# Weights of a replica in GiB, one for each of its accelerators.
REPLICA_WEIGHT_GIB = 8.0
