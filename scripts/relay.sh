#!/usr/bin/env bash
# Measures what entry and agent cost; flags go to the relay command.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=.venv/bin
PYTHON=$BIN/python
ENGINES=${ENGINES:-3}
SLOTS=${SLOTS:-200}
RUN=$(mktemp -d)
RECORDS=$RUN
LEFTOVERS=0
mkdir -p "$RUN"/{logs,pids,ports,documents}

. scripts/lib/processes.sh
. scripts/lib/fleet.sh
trap stop_all EXIT

mapfile -t PORTS < <("$PYTHON" scripts/lib/ports.py $((3 + 2 * ENGINES)))
PORT_PLACE=0
start keyvalue "$PYTHON" -m anvilwell_standins keyvalue \
    --port-file "$RUN/ports/keyvalue"
for n in $(seq "$ENGINES"); do
    start "engine-$n" "$PYTHON" -m anvilwell_standins engine \
        --name "engine-$n" --port-file "$RUN/ports/engine-$n" \
        --slots "$SLOTS" --threads $((SLOTS + 16)) \
        --token-ms "${TOKEN_MS:-100}" --tokens-per-tick "${TOKENS:-5}"
done
wait_ports keyvalue $(seq -f 'engine-%g' "$ENGINES")

next_port; ENTRY=$PORT
next_port; ADMIN=$PORT
next_port; PEERS=$PORT
AGENTS=
for n in $(seq "$ENGINES"); do
    next_port; listen=$PORT
    next_port; LAST_ADMIN=$PORT
    AGENTS="${AGENTS:+$AGENTS, }127.0.0.1:$listen"
    cat >"$RUN/agent-$n.ini" <<INI
[daemon]
vm_id = agent-$n
role = agent
failure_domain = a
[agent]
listen = 127.0.0.1:$listen
service = planner-lm
backend = $(address_of "engine-$n")
backend_kind = model
capacity = $SLOTS
admin = 127.0.0.1:$LAST_ADMIN
[keyvalue]
endpoints = $(address_of keyvalue)
[membership]
seeds = 127.0.0.1:$PEERS
[log]
file = $RUN/logs/agent-$n.log
INI
    start "agent-$n" "$BIN/anvilwelld" run --settings "$RUN/agent-$n.ini"
done
sed "s/@VERSION@/1/" scripts/templates/planner-lm.ini \
    >"$RUN/documents/planner-lm.ini"
sed -i 's/^deadline_s = .*/deadline_s = 100/' "$RUN/documents/planner-lm.ini"
cat >"$RUN/entry.ini" <<INI
[daemon]
vm_id = entry-1
role = entry
failure_domain = a
[entry]
listen = 127.0.0.1:$ENTRY
admin = 127.0.0.1:$ADMIN
threads = 1024
static_replicas = $AGENTS
documents = $RUN/documents
[peers]
listen = 127.0.0.1:$PEERS
[keyvalue]
endpoints = $(address_of keyvalue)
[log]
file = $RUN/logs/entry.log
INI
start entry "$BIN/anvilwelld" run --settings "$RUN/entry.ini"
has_replicas() {
    curl -fsS "http://127.0.0.1:$ADMIN/admin/versions/planner-lm" |
        grep -o '"version": "1"' | wc -l | grep -qx "$ENGINES"
}
wait_for 30 "replicas" has_replicas
"$PYTHON" -m anvilwell_bench relay \
    --engine "$(address_of engine-1)" --entry "127.0.0.1:$ENTRY" \
    --entry_admin "127.0.0.1:$ADMIN" --agent_admin "127.0.0.1:$LAST_ADMIN" \
    "$@"
