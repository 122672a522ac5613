# Starts the stand-ins and daemons of the Association's deployment.

DOMAINS=(ljubljana-hall kamnik-hall domzale-hall)

next_port() {
    PORT=${PORTS[$PORT_PLACE]}
    PORT_PLACE=$((PORT_PLACE + 1))
}

# render TEMPLATE TARGET KEY=VALUE...
render() {
    local template=$1 target=$2 pair script=""
    shift 2
    for pair in "$@"; do
        script+="s|@${pair%%=*}@|${pair#*=}|g;"
    done
    sed "$script" "scripts/templates/$template" >"$target"
}

# standin KIND NAME FLAGS...: start it; its address is in ADDRESS_NAME.
standin() {
    local kind=$1 name=$2
    shift 2
    start "$name" "$PYTHON" -m anvilwell_standins "$kind" --name "$name" \
        --record "$RECORDS/$name.jsonl" --port-file "$RUN/ports/$name" "$@"
}

address_of() {
    cat "$RUN/ports/$1"
}

wait_ports() {
    local name
    for name in "$@"; do
        wait_for 20 "address of $name" test -s "$RUN/ports/$name"
    done
}

# place NAME...: choose each daemon's listener and failure domain.
place() {
    local name number=0
    for name in "$@"; do
        next_port
        LISTEN[$name]=$PORT
        DOMAIN_OF[$name]=${DOMAINS[number % 3]}
        number=$((number + 1))
    done
}

# agent NAME SERVICE KIND BACKEND_NAME FENCING
agent() {
    local name=$1
    next_port
    echo "127.0.0.1:$PORT" >"$RUN/ports/$name-admin"
    render agent.ini "$RUN/settings/$name.ini" "NAME=$name" "SERVICE=$2" \
        "KIND=$3" "BACKEND=$(address_of "$4")" "FENCING=$5" \
        "DOMAIN=${DOMAIN_OF[$name]}" "PORT=${LISTEN[$name]}" \
        "ADMIN=$PORT" "${PLATFORM[@]}" "LOG=$RUN/logs/$name.log"
    start "$name" "$BIN/anvilwelld" run --settings "$RUN/settings/$name.ini"
}

# entry NAME
entry() {
    local name=$1
    next_port
    local port=$PORT
    next_port
    echo "127.0.0.1:$port" >"$RUN/ports/$name"
    echo "127.0.0.1:$PORT" >"$RUN/ports/$name-admin"
    render entry.ini "$RUN/settings/$name.ini" "NAME=$name" \
        "DOMAIN=${DOMAIN_OF[$name]}" "PEERS=${LISTEN[$name]}" \
        "PORT=$port" "ADMIN=$PORT" "${PLATFORM[@]}" \
        "LOG=$RUN/logs/$name.log"
    start "$name" "$BIN/anvilwelld" run --settings "$RUN/settings/$name.ini"
}
