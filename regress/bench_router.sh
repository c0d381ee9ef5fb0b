#!/usr/bin/env bash
# bench_router.sh BUILD_DIR - what one agated spends on a token and a session.
#
# Runs sessions of two lengths through one host; the difference in its
# processor time gives the cost of a token, the rest that of a session.
# Memory is compared with so many sessions at once and with none.  Bounds:
# letter 1's tokens and requests over 340 hosts, on one core of each.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
work=$(mktemp -d)
. regress/fleet.sh
trap cleanup EXIT
trap 'exit 130' INT TERM

sessions=300 short=20 long=420 at_once=100

cpu_us() {
    local stat
    read -ra stat <"/proc/${pid_of[a1]}/stat"
    echo $(((stat[13] + stat[14]) * 1000000 / $(getconf CLK_TCK)))
}

memory_kb() {
    awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[a1]}/status"
}

# run TOKENS SEED: processor time that a1 spends on all sessions of this length.
run() {
    local before
    before=$(cpu_us)
    "$bin/regress/standin/standin_load" run --seed "$2" --sessions "$sessions" \
        --at-once "$at_once" --length-min "$1" --length-max "$1" --whole 0 \
        --drop 0 --repeat 0 --once 0 --plain 0 \
        --routers "${address_of[a1]}" >"$work/run.out" ||
        fail "$(cat "$work/run.out")"
    echo $(($(cpu_us) - before))
}

figure() {
    awk -v name="$1" -v value="$2" -v unit="$3" -v bound="$4" 'BEGIN {
        state = bound == "-" || value <= bound ? "ok" : "short"
        print name, value, unit, bound, state }'
}

engine_options=(--token-us 10000 --prefill-us-per-token 10)
start_store
for name in r1 r2 r3 r4; do
    start_engine "$name" "${engine_options[@]}"
done
put_documents r1 r2 r3 r4
start_host a1 north
wait_serving a1

run "$short" 1 >/dev/null
idle_kb=$(memory_kb)
short_us=$(run "$short" 2)
long_us=$(run "$long" 3)
loaded_kb=$(memory_kb)
tokens=$((sessions * (long - short)))
figure router_token_cpu \
    "$(awk "BEGIN { print ($long_us - $short_us) / $tokens }")" us 40
figure router_session_cpu \
    "$(awk "BEGIN { print ($short_us - ($long_us - $short_us) * $short / \
        ($long - $short)) / $sessions }")" us 1900
figure router_memory_idle "$idle_kb" KB 65536
figure router_memory_100_sessions "$loaded_kb" KB -
