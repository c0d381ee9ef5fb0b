#!/usr/bin/env bash
# history.sh BUILD_DIR SEED SESSIONS [AT_ONCE] - sessions under seeded faults.
#
# Engines and hosts are killed, paused and started again, the store goes
# down, is slow and loses answers, while the load client keeps a history of
# every request; exit status 0 only if the checker finds no fault.  With
# FAULTS set, only those kinds come.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1 seed=$2 sessions=$3 at_once=${4:-20}
work=$(mktemp -d)
. regress/fleet.sh
trap cleanup EXIT
trap 'exit 130' INT TERM
RANDOM=$seed
engines=(r1 r2 r3 r4)
hosts=(a1 a2 a3)
read -ra faults <<<"${FAULTS:-kill_engine kill_engine pause_engine \
    pause_engine kill_host pause_host kill_both store_down store_loses \
    store_slow}"

# A number of seconds between two numbers of milliseconds.
seconds() {
    local ms=$(($1 + RANDOM % ($2 - $1)))
    printf '%d.%03d' $((ms / 1000)) $((ms % 1000))
}

# Starts again what is dead, each after a while of its own.
revive() {
    local name
    for name in "${engines[@]}" slots-1; do
        lives "$name" || ((RANDOM % 2)) ||
            start_engine "$name" "${engine_options[@]}"
    done
    for name in "${hosts[@]}"; do
        lives "$name" || ((RANDOM % 2)) || start_host "$name" north
    done
}

kill_one() {
    lives "$1" && stop "$1" KILL
    echo "fault kill $1" >&2
}

make_fault() {
    local engine=${engines[RANDOM % 4]} host=${hosts[RANDOM % 3]}
    local kind=${faults[RANDOM % ${#faults[@]}]}
    case $kind in
    kill_engine) kill_one "$engine" ;;
    kill_host) kill_one "$host" ;;
    kill_both) kill_one "$engine"; kill_one "$host" ;;
    pause_engine) lives "$engine" && pause "$engine" "$(seconds 100 3000)" ;;
    pause_host) lives "$host" && pause "$host" "$(seconds 100 3000)" ;;
    store_down) store_fault "{\"down_ms\": $((200 + RANDOM % 2000))}" ;;
    store_loses) store_fault '{"lose_answers": 2}' ;;
    store_slow) store_fault "{\"slow_ms\": $((RANDOM % 2 * 100))}" ;;
    esac
    echo "fault $kind $engine $host" >&2
}

engine_options=(--token-us 5000 --prefill-us-per-token 20)
start_store
for name in "${engines[@]}"; do
    start_engine "$name" "${engine_options[@]}"
done
put_documents "${engines[@]}"
for name in "${hosts[@]}"; do
    start_host "$name" north
done
for name in "${hosts[@]}"; do
    wait_serving "$name"
done

"$bin/regress/standin/standin_load" run --seed "$seed" \
    --sessions "$sessions" --at-once "$at_once" --plain 10 --patience-ms "${PATIENCE_MS:-30000}" --once 15 \
    --drop 5 --repeat 5 --whole 20 --killers "${KILLERS:-0}" \
    --routers "${address_of[a1]},${address_of[a2]},${address_of[a3]}" \
    "$work"/{r1,r2,r3,r4,slots-1}.journal &
load=$!
pids+=("$load")
while kill -0 "$load" 2>/dev/null; do
    make_fault || true
    sleep "$(seconds 100 600)"
    revive
done
if ! wait "$load"; then
    [ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
    fail "history: seed $seed shows a fault"
fi
