# Starts processes in the background and ends them by pid.

# start NAME COMMAND...: run it with its own log; keep its pid.
start() {
    local name=$1
    shift
    "$@" >"$RUN/logs/$name.out" 2>"$RUN/logs/$name.err" &
    echo $! >"$RUN/pids/$name"
}

pid_of() {
    cat "$RUN/pids/$1"
}

# is_child PID: whether it is (still) a process that this shell started.
# A pid is soon taken by another process on a busy machine.
is_child() {
    [ "$(ps -o ppid= -p "$1" 2>/dev/null | tr -d ' ')" = "$$" ]
}

is_alive() {
    is_child "$(pid_of "$1")"
}

# stop NAME [LIMIT_S]: SIGTERM and wait; sets CODE, 1 if it had to kill.
stop() {
    local name=$1 limit_s=${2:-30} pid waited=0
    pid=$(pid_of "$name")
    is_child "$pid" && kill -TERM "$pid" 2>/dev/null || true
    while is_child "$pid" && ((waited < limit_s * 10)); do
        sleep 0.1
        waited=$((waited + 1))
    done
    if is_child "$pid"; then
        echo "leftover: $name (pid $pid) did not end in ${limit_s} s" >&2
        kill -KILL "$pid"
        LEFTOVERS=$((LEFTOVERS + 1))
    fi
    CODE=0
    wait "$pid" 2>/dev/null || CODE=$?
    rm -f "$RUN/pids/$name"
}

# crash NAME: SIGKILL.
crash() {
    local pid
    pid=$(pid_of "$1")
    is_child "$pid" || fail "$1 (pid $pid) had ended before its crash"
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null || true
    rm -f "$RUN/pids/$1"
}

# stop_all: end whatever still runs, on every way out.
stop_all() {
    local path pid
    for path in "$RUN"/pids/*; do
        [ -e "$path" ] || continue
        pid=$(cat "$path")
        is_child "$pid" && kill -TERM "$pid" 2>/dev/null || true
    done
    for path in "$RUN"/pids/*; do
        [ -e "$path" ] || continue
        stop "$(basename "$path")" 10
    done
}

# wait_for LIMIT_S WHAT COMMAND...: until the command succeeds.
wait_for() {
    local limit_s=$1 what=$2 end=$((SECONDS + $1))
    shift 2
    until "$@" >/dev/null 2>&1; do
        ((SECONDS < end)) || fail "$what not reached in ${limit_s} s"
        sleep 0.1
    done
}

fail() {
    echo "demo: $* (logs and records are in $RUN)" >&2
    exit 1
}

say() {
    printf '%5ss  %s\n' "$SECONDS" "$*"
}
