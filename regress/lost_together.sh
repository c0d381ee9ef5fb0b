#!/usr/bin/env bash
# lost_together.sh LOGS OUTPUT REQUEST - was it lost as KNOWN-RED.txt case 7?
#
# LOGS is the folder that history.sh kept, OUTPUT what it printed.  Succeeds
# only if the host that had the request, the host that stored its record and
# the engine that ran it were all killed within SPAN_S seconds of the moment at
# which another host asked that engine for the rest, and nothing went on.
set -euo pipefail
logs=$1 output=$2 request=$3
for log in "$logs"/a*.log*; do
    host=$(basename "$log")
    grep -F "request=$request " "$log" | sed "s/^/${host%%.*} /" || true
done | sort -s -k 3,3 | awk -v output="$output" -v span="${SPAN_S:-4}" '
function seconds(time, part) {
    split(time, part, ":")
    return part[1] * 3600 + part[2] * 60 + part[3]
}
function field(name, i) {
    for (i = 6; i <= NF; i++)
        if (index($i, name "=") == 1)
            return substr($i, length(name) + 2)
    return ""
}
function killed(name, i) {
    for (i = 0; i < kills; i++)
        if (kill_name[i] == name && kill_at[i] >= lost - span &&
            kill_at[i] <= lost + span)
            return 1
    return 0
}
{ at = seconds(substr($3, 12, 12)); kind = $5 }
kind == "replica" { replica[$1] = field("host") }
kind == "open" && owner == "" { owner = $1 }
kind == "takeover" { owner = $1; lost = 0 }
kind == "open" && lost > 0 { owner = $1; lost = 0 }
kind == "reattach" && field("position") == 0 && $1 != owner && lost == 0 {
    lost = at
    engine = field("runner")
}
END {
    kills = 0
    while ((getline line < output) > 0)
        if (split(line, word, " ") == 4 && word[1] == "fault" &&
            word[3] == "kill") {
            kill_at[kills] = seconds(word[2])
            kill_name[kills++] = word[4]
        }
    exit !(lost > 0 && replica[owner] != "" && killed(owner) &&
           killed(replica[owner]) && killed(engine))
}'
