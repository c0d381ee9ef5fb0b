#!/usr/bin/env bash
# bench_faults.sh BUILD_DIR [SESSIONS [AT_ONCE [SEED]]] - answers under faults.
#
# One line a figure: NAME VALUE UNIT BOUND ok|short, the name led by the
# scenario.  Extra work is against the clean run of the same seed.  With
# BASELINE set, its lines are the hosts' further settings and the figures
# are led by "baseline.".
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1 sessions=${2:-300} at_once=${3:-50} seed=${4:-1}
lead=${BASELINE:+baseline.}
declare -A work_of

# figure FILE NAME: a figure's value.
figure() {
    awk -v name="$2" '$1 == name { print int($2) }' "$1"
}

# measure SCENARIO FAULT...: prints the figures of one run.
measure() {
    local scenario=$1 out extra
    shift
    out=$(mktemp)
    FAULTS="$*" HOST_SETTINGS="${BASELINE:-}" \
        regress/history.sh "$bin" "$seed" "$sessions" "$at_once" \
        >"$out" 2>"$out.log" || { grep -v '^fault ' "$out.log" >&2 || true; }
    sed "s/^/$lead$scenario./" "$out"
    for kind in prompt output; do
        work_of[$scenario.$kind]=$(figure "$out" "${kind}_work")
        extra=$((work_of[$scenario.$kind] - work_of[clean.$kind]))
        echo "$lead$scenario.extra_$kind $extra tokens - ok"
    done
    rm -f "$out" "$out.log"
}

measure clean none
measure death kill_engine
measure pause pause_engine
measure router_death kill_host
measure both kill_both
measure stop drain_host
measure store store_down store_loses store_slow
KILLERS=3 measure killers none
