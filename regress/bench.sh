#!/usr/bin/env bash
# bench.sh BUILD_DIR [SESSIONS [AT_ONCE [SEED]]] - every figure there is.
#
# One line a figure: NAME VALUE UNIT BOUND ok|short.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in "$1"/regress/bench_*; do
    [ ! -x "$program" ] || "$program"
done
regress/bench_router.sh "$1"
regress/bench_faults.sh "$@"
