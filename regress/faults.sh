#!/usr/bin/env bash
# faults.sh BUILD_DIR SEED SESSIONS - history.sh, but for one known fault.
#
# Passes over KNOWN-RED.txt case 5 and nothing else: a request that engines
# killed at random made look harmful, told so instead of being finished.  Any
# other fault, or a host that dies or does not stop, fails.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
regress/history.sh "$@" >"$out" 2>&1
status=$?
cat "$out"
[ "$status" = 0 ] && exit 0
known="accepted and never ended, .* last refused as 'harmful'\$"
grep -qE "^request .*$known" "$out" || exit 1
! grep -E '^request [^ ]+: ' "$out" | grep -qvE "$known" || exit 1
! grep -qE 'did not stop|has died' "$out" || exit 1
echo "known red, case 5: $(grep -cE "$known" "$out") innocents refused"
