#!/usr/bin/env bash
# demo.sh BUILD_DIR - an engine dies in the middle of an answer.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
work=$(mktemp -d)
. regress/fleet.sh
trap cleanup EXIT
trap 'exit 130' INT TERM

tokens=400
: >"$work/answer"
start_store
for name in r1 r2 r3; do
    start_engine "$name" --token-us 5000
done
put_documents r1 r2 r3
start_host a1 north
start_host a2 south
wait_serving a1
wait_serving a2

"$bin/regress/standin/standin_load" one --length-min "$tokens" \
    --length-max "$tokens" --routers "${address_of[a1]},${address_of[a2]}" \
    > >(tee "$work/answer") &
load=$!
pids+=("$load")

for _ in $(seq 200); do
    [ "$(wc -c <"$work/answer" 2>/dev/null || echo 0)" -gt 1000 ] && break
    sleep 0.02
done
killed=$(cd "$work" && grep -l 's1-0$' r?.journal | head -n 1)
killed=${killed%.journal}
[ -n "$killed" ] || fail "no engine has started the request"
stop "$killed" KILL
wait "$load" || fail "the answer is not whole and correct"
[ "$(cat "$work"/r?.journal | grep -c 's1-0$')" -ge 2 ] ||
    fail "no other engine went on with the answer"
grep -q '^demo: .* 0 missing, 0 repeated,' "$work/answer"
