#!/usr/bin/env bash
# Runs a small deployment of the Association on this machine: trains
# while live callers ask, breaks things meanwhile, and audits the lot.
#
# ENGINES and PLAINS set how many replicas each service has, STEPS how
# many steps are trained.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=.venv/bin
PYTHON=$BIN/python
RUN=run
RECORDS=$RUN/records
ENGINES=${ENGINES:-6}
PLAINS=${PLAINS:-3}
STEPS=${STEPS:-5}
STEP_LIMIT_S=${STEP_LIMIT_S:-60}
LEFTOVERS=0
FAILED=0
CODE=0
PORT_PLACE=0
declare -A LISTEN DOMAIN_OF

. scripts/lib/processes.sh
. scripts/lib/fleet.sh

rm -rf "$RUN"
mkdir -p "$RUN"/{logs,pids,ports,settings,records,metrics}
trap stop_all EXIT
mapfile -t PORTS < <("$PYTHON" scripts/lib/ports.py 64)

load() {
    "$PYTHON" -m anvilwell_bench.load "$@"
}

# note KIND FIELD=VALUE...: one line in the operator's record.
note() {
    load --who=operator --record="$RECORDS/operator.jsonl" -- note "$@"
}

# operate COMMAND...: run the operators' client against the first entry.
operate() {
    "$BIN/anvilwell" --entry="$(address_of entry-1-admin)" "$@"
}

# apply SERVICE VERSION: apply the rendered document and note the outcome.
apply() {
    local outcome=$RUN/logs/apply-$1-$2.json
    if ! operate --output=json apply "$RUN/settings/$1.ini" >"$outcome"; then
        fail "apply of $1 failed: $(cat "$outcome")"
    fi
    load --who=operator --record="$RECORDS/operator.jsonl" \
        --version="$2" applied "$1" <"$outcome"
    say "$1 is in force, $(grep -o '"generation": [0-9]*' "$outcome")"
}

is_ready() {
    curl -sf "http://$(address_of "$1")/readyz"
}

collected_steps() {
    "$PYTHON" -m anvilwell_bench.load whole_steps "$RECORDS"
}

# steps_whole N: whether N steps are whole, or the trainer has failed.
steps_whole() {
    [ "$(collected_steps)" -ge "$1" ] || ! is_alive trainer
}

has_ended() {
    ! is_alive "$1"
}

wait_for_steps() {
    wait_for "$STEP_LIMIT_S" "$1 whole steps" steps_whole "$1"
    [ "$(collected_steps)" -ge "$1" ] ||
        fail "the trainer ended: $(tail -n 1 "$RUN/logs/trainer.err")"
}

start_standins() {
    local number fencing name vms=()
    for name in "${!LISTEN[@]}"; do
        vms+=(--vm "$name=127.0.0.1:${LISTEN[$name]}=${DOMAIN_OF[$name]}")
    done
    standin keyvalue keyvalue
    standin vmlist vmlist "${vms[@]}"
    standin weightstore weightstore --published planner=1
    standin scorer scorer
    wait_ports keyvalue vmlist weightstore scorer
    for ((number = 1; number <= ENGINES; number++)); do
        # Not every engine refuses an order with an old fencing number.
        fencing=check
        ((number % 2)) || fencing=ignore
        standin engine "engine-$number" --model planner --version 1 \
            --weight-store "$(address_of weightstore)" \
            --fencing "$fencing" --token-ms 10 --swap-ms 50
    done
    for ((number = 1; number <= PLAINS; number++)); do
        standin plain "plain-$number"
    done
    wait_ports "${BACKENDS[@]}"
}

start_daemons() {
    local name number fencing
    PLATFORM=(
        "SEEDS=127.0.0.1:${LISTEN[entry-1]}, 127.0.0.1:${LISTEN[entry-2]}"
        "KEYVALUE=$(address_of keyvalue)"
        "VMLIST=$(address_of vmlist)"
        "WEIGHTSTORE=$(address_of weightstore)"
        "SCORER=$(address_of scorer)"
    )
    for name in "${ENTRIES[@]}"; do
        entry "$name"
    done
    for ((number = 1; number <= ENGINES; number++)); do
        fencing=yes
        ((number % 2)) || fencing=no
        agent "planner-agent-$number" planner-lm model "engine-$number" \
            "$fencing"
    done
    for ((number = 1; number <= PLAINS; number++)); do
        agent "stops-agent-$number" stops-app plain "plain-$number" no
    done
    for name in "${ENTRIES[@]}"; do
        wait_for 30 "readiness of $name" is_ready "$name"
    done
}

start_callers() {
    local entries=$1 name admins=""
    for name in "${ENTRIES[@]}"; do
        admins+="$name=$(address_of "$name-admin"),"
    done
    start caller "$PYTHON" -m anvilwell_standins caller --name caller \
        --record "$RECORDS/caller.jsonl" --entries "$entries" --seconds 300 \
        --callers 12 --max-tokens 60 --pause-ms 100
    # Asks for a service that is not there: a refusal to hold true.
    start stranger "$PYTHON" -m anvilwell_standins caller --name stranger \
        --record "$RECORDS/stranger.jsonl" --entries "$entries" --retries 0 \
        --service no-such-lm --streams 1 --lookups 0 --notices 0 --asks 2
    start prober "$PYTHON" -m anvilwell_bench.load --who=prober \
        --record="$RECORDS/prober.jsonl" --daemons="${admins%,}" probe
}

save_metrics() {
    curl -sf "http://$(address_of "$1-admin")/metrics" \
        >"$RUN/metrics/$1.prom" || true
}

shut_down() {
    local daemon=$1 server=${2:-}
    save_metrics "$daemon"
    note stop "daemon=$daemon" "server=$server"
    stop "$daemon"
    note stopped "daemon=$daemon" "code=$CODE"
    say "$daemon was told to stop and ended with code $CODE"
    [ "$CODE" -eq 0 ] || FAILED=1
}

mapfile -t PLANNER_AGENTS < <(seq -f planner-agent-%.0f "$ENGINES")
mapfile -t STOPS_AGENTS < <(seq -f stops-agent-%.0f "$PLAINS")
mapfile -t BACKENDS < <(
    seq -f engine-%.0f "$ENGINES"
    seq -f plain-%.0f "$PLAINS"
)
AGENTS=("${PLANNER_AGENTS[@]}" "${STOPS_AGENTS[@]}")
ENTRIES=(entry-1 entry-2 entry-3)
place "${ENTRIES[@]}" "${AGENTS[@]}"

kill_now() {
    note kill "process=$1"
    crash "$1"
}

say "starting stand-ins: $ENGINES engines, $PLAINS plain services"
start_standins
say "starting ${#ENTRIES[@]} entries and $((ENGINES + PLAINS)) agents"
start_daemons
render planner-lm.ini "$RUN/settings/planner-lm.ini" VERSION=1
render stops-app.ini "$RUN/settings/stops-app.ini" QUEUE=64
apply planner-lm 1
apply stops-app ""
ADDRESSES=""
for name in "${ENTRIES[@]}"; do
    ADDRESSES+="$name=$(address_of "$name"),"
done
ADDRESSES=${ADDRESSES%,}
start_callers "$ADDRESSES"
say "live callers ask; the trainer begins $STEPS steps"
start trainer "$PYTHON" -m anvilwell_standins trainer --name trainer \
    --record "$RECORDS/trainer.jsonl" \
    --entries "$ADDRESSES" \
    --weight-store "$(address_of weightstore)" --train-ms 1500 \
    --service planner-lm --run autumn --steps "$STEPS"

wait_for_steps 1
say "step 1 is whole; killing engine-3"
kill_now engine-3
render stops-app.ini "$RUN/settings/stops-app.ini" QUEUE=48
apply stops-app ""
say "stopping entry-2 while callers stream"
shut_down entry-2
wait_for_steps 2
say "step 2 is whole; draining planner-agent-2"
operate drain planner-agent-2 >"$RUN/logs/drain.out"
note leave server=engine-2
if ((ENGINES >= 6)); then
    say "killing planner-agent-4 in mid-step"
    kill_now planner-agent-4
fi
wait_for_steps 3
say "step 3 is whole; killing entry-3 in mid-step"
kill_now entry-3
wait_for_steps "$STEPS"
say "all $STEPS steps are whole"
wait_for 30 "the trainer's end" has_ended trainer

stop trainer
[ "$CODE" -eq 0 ] || FAILED=1
stop prober
for name in entry-1 "${AGENTS[@]}"; do
    save_metrics "$name"
done
say "stopping entry-1 while callers stream"
shut_down entry-1
stop caller
[ "$CODE" -eq 0 ] || FAILED=1
stop_all

say "summary"
load --metrics="$RUN/metrics" summary "$RECORDS"
"$PYTHON" -m anvilwell_bench.audit "$RECORDS" \
    --parties="caller,stranger,trainer,operator,prober,engine-1,plain-1" || FAILED=1
if ! grep -q '"kind":"swap"' "$RECORDS"/engine-*.jsonl; then
    echo "no engine changed its weights" >&2
    FAILED=1
fi
if ((FAILED || LEFTOVERS)); then
    fail "failed: $LEFTOVERS leftovers; logs are in $RUN/logs"
fi
