# fleet.sh - starts and stops a small fleet on loopback; sourced.
#
# Set bin (the build's folder) and work (a temporary folder) first.  Every
# process started is in pids and is ended by its id when the shell exits.

key=secret
pids=()
former=0
declare -A pid_of address_of

cleanup() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}

fail() {
    echo "$1" >&2
    exit 1
}

# wait_for FILE PATTERN: waits until a line matches, prints its last word.
wait_for() {
    local line
    for _ in $(seq 200); do
        line=$(grep -m 1 -E -- "$2" "$1" 2>/dev/null) &&
            { echo "${line##*[ =]}"; return; }
        sleep 0.05
    done
    cat "$1" >&2
    fail "$1: no line like '$2' came"
}

# start NAME PROGRAM ARGUMENT...: its output goes to NAME.out and NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>>"$work/$name.log" &
    pid_of[$name]=$!
    pids+=($!)
}

start_store() {
    start store "$bin/regress/standin/standin_store" --port "${1:-0}"
    address_of[store]=127.0.0.1:$(wait_for "$work/store.out" '^ready')
}

# start_engine NAME ARGUMENT...: at its former port when it had one.
start_engine() {
    local name=$1 port=${address_of[$1]:-:0}
    shift
    start "$name" "$bin/regress/standin/standin_engine" \
        --port "${port##*:}" --models planner-v3 \
        --journal "$work/$name.journal" "$@"
    address_of[$name]=127.0.0.1:$(wait_for "$work/$name.out" '^ready')
}

# start_host NAME ZONE: an agated, at its former port.  HOST_SETTINGS are
# further lines of its settings.
start_host() {
    local listen=${address_of[$1]:-127.0.0.1:0}
    cat >"$work/$1.toml" <<EOF
host = "$1"
zone = "$2"
[listen]
address = "$listen"
[platform]
kind = "etcd"
addresses = ["${address_of[store]}"]
[peers]
address = "127.0.0.1:0"
key_file = "$work/peers.key"
${HOST_SETTINGS:-}
EOF
    head -c 32 /dev/zero | tr '\0' k >"$work/peers.key"
    [ ! -e "$work/$1.log" ] || mv "$work/$1.log" "$work/$1.log.$((++former))"
    start "$1" "$bin/agated/agated" -f "$work/$1.toml"
    address_of[$1]=$(wait_for "$work/$1.log" 'listening address=')
}

# put_documents ENGINE...: the operators' document and a team's.  The plain
# service is a process of its own, slots-1.
put_documents() {
    local name hash zones=(north south west) i=0
    start_engine slots-1
    hash=$(printf %s "$key" | sha256sum)
    : >"$work/fleet.toml"
    for name in "$@"; do
        cat >>"$work/fleet.toml" <<EOF
[[runner]]
name = "$name"
address = "${address_of[$name]}"
zone = "${zones[i++ % 3]}"
kind = "engine"
models = ["planner-v3"]
EOF
    done
    cat >>"$work/fleet.toml" <<EOF
[[runner]]
name = "slots-1"
address = "${address_of[slots-1]}"
zone = "north"
kind = "service"
models = ["bay-slots"]
[[organisation]]
name = "tarawhiti"
key_sha256 = ["${hash%% *}"]
EOF
    cat >"$work/service.toml" <<EOF
service = "maintenance-plans"
team = "planning"
weighs = "${weighs:-resume-latency}"
[[model]]
name = "planner"
version = "planner-v3"
[[plain]]
name = "bay-slots"
[[organisation]]
name = "tarawhiti"
weight = 1
[[kind]]
name = "plan"
urgency = "batch"
idempotent = true
first_token_objective_ms = 430
token_gap_objective_ms = 43
[[kind]]
name = "forecast"
urgency = "normal"
idempotent = false
first_token_objective_ms = 430
token_gap_objective_ms = 43
EOF
    "$bin/regress/standin/standin_load" put "${address_of[store]}" \
        /agatevale/fleet "$work/fleet.toml"
    "$bin/regress/standin/standin_load" put "${address_of[store]}" \
        /agatevale/services/maintenance-plans "$work/service.toml"
}

# wait_serving HOST: until it serves the team's model.
wait_serving() {
    for _ in $(seq 200); do
        "$bin/regress/standin/standin_load" call GET \
            "http://${address_of[$1]}/v1/models" 2>/dev/null |
            grep -q '"planner"' && return
        sleep 0.05
    done
    cat "$work/$1.log" >&2
    fail "$1 does not serve the documents"
}

# stop NAME SIGNAL: ends the process and forgets its id.
stop() {
    local ended=${pid_of[$1]} pid left=()
    kill "-$2" "$ended"
    wait "$ended" 2>/dev/null || true
    for pid in "${pids[@]}"; do
        [ "$pid" = "$ended" ] || left+=("$pid")
    done
    pids=("${left[@]}")
}

# lives NAME
lives() {
    kill -0 "${pid_of[$1]}" 2>/dev/null
}

# pause NAME SECONDS: stops it, and lets it go on later.
pause() {
    kill -STOP "${pid_of[$1]}"
    (sleep "$2"; kill -CONT "${pid_of[$1]}" 2>/dev/null) &
    pids+=($!)
}

# store_fault JSON
store_fault() {
    "$bin/regress/standin/standin_load" call POST \
        "http://${address_of[store]}/fault" "$1" >/dev/null
}
