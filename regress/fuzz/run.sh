#!/bin/sh
# Runs each fuzz target of a build folder on its seeds, bounded in time and
# with a fixed seed: fuzz/run.sh BUILD [SECONDS].  Exits 1 on the first fault.
set -eu
build=$1
seconds=${2:-20}
cd "$(dirname "$0")"
for seeds in seeds/*; do
    name=$(basename "$seeds")
    corpus=$build/corpus/$name
    mkdir -p "$corpus"
    "$build/regress/fuzz/fuzz_$name" -seed=1 -max_len=4096 -timeout=10 \
        -rss_limit_mb=1024 -max_total_time="$seconds" -print_final_stats=1 \
        -artifact_prefix="$corpus/" "$corpus" "$seeds" \
        >"$corpus.log" 2>&1 || { tail -40 "$corpus.log"; exit 1; }
    runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$corpus.log")
    echo "fuzz $name: $runs runs, no fault"
done
