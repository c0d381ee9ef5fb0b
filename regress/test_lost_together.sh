#!/usr/bin/env bash
# test_lost_together.sh - lost_together.sh passes over no other loss.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# line TIME HOST TEXT: a line of a host's log.
line() { echo "<6> 2026-12-04T00:00:$1Z agated[1]: $3" >>"$work/$2.log"; }

# expect STATUS WHAT FAULT...: each is TIME=NAME, or TIME~NAME for a pause.
expect() {
    local status=0 wanted=$1 what=$2 fault
    shift 2
    : >"$work/out"
    for fault in "$@"; do
        case $fault in
        *=*) echo "fault 00:00:${fault%=*} kill ${fault#*=}" ;;
        *~*) echo "fault 00:00:${fault%~*} pause_host r4 ${fault#*~}" ;;
        esac >>"$work/out"
    done
    regress/lost_together.sh "$work" "$work/out" s1-1 || status=1
    [ "$status" = "$wanted" ] || { echo "$what: $status" >&2; exit 1; }
}

line 10.000 a1 "open request=s1-1 organisation=o runner=r1 attempt=1 position=0"
line 10.100 a1 "replica request=s1-1 organisation=o host=a2"
line 12.500 a3 "reattach request=s1-1 organisation=o runner=r1 attempt=2 position=0"
line 12.501 a3 "loss request=s1-1 organisation=o runner=r1 attempt=2 position=0 kind=1"
expect 0 "all three" 11.000=a1 11.900=a2 12.000=r1
expect 1 "its host is paused" 11.000~a1 11.900=a2 12.000=r1
expect 1 "the host of its record is paused" 11.000=a1 11.900~a2 12.000=r1
expect 1 "its host lives" 11.000=a3 11.900=a2 12.000=r1
expect 1 "the host of its record lives" 11.000=a1 11.900=a3 12.000=r1
expect 1 "its engine lives" 11.000=a1 11.900=a2 12.000=r2
expect 1 "its host went long before" 08.000=a1 11.900=a2 12.000=r1
expect 1 "nothing was killed"
line 12.600 a3 "open request=s1-1 organisation=o runner=r2 attempt=3 position=9"
expect 1 "it went on" 11.000=a1 11.900=a2 12.000=r1
