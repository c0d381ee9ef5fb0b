#!/bin/sh
# seeds.sh BUILD_DIR RUNS SECONDS [FIRST_SEED] - the soak by several seeds.
#
# Seeds are fresh, or count up from FIRST_SEED.  One line a seed; what a
# broken run printed stays.  Every seed that ever failed stands in
# regress/soak/seeds.txt with its cause, and is run first.
set -u
cd "$(dirname "$0")/../.."
bin=$1 runs=$2 seconds=$3 first=${4:-}
status=0
run() {
    out=$(mktemp)
    if "$bin/regress/soak/soak" "$bin/agated/agated" "$1" "$seconds" >"$out" 2>&1
    then
        tail -n 1 "$out"
        rm -f "$out"
    else
        cat "$out"
        status=1
    fi
}
while read -r seed _; do
    case "$seed" in '' | '#'*) continue ;; esac
    run "$seed"
done <regress/soak/seeds.txt
i=0
while [ "$i" -lt "$runs" ]; do
    if [ -n "$first" ]; then
        seed=$((first + i))
    else
        seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
    fi
    run "$seed"
    i=$((i + 1))
done
exit "$status"
