#!/usr/bin/env bash
# Callers and faults on Lakeshore's fleet of real processes: examples/soak.sh [SECONDS]
#
# `lagoon-load soak` asks, sets the stand-ins' fault switches and checks; this script meanwhile
# ends, pauses, drains and starts entry hosts and stewards, and notes it for the checks. Exit code:
# 0 only if every check held.
set -euo pipefail
cd "$(dirname "$0")/.."
source examples/common.sh

seconds=${1:-300}
fleet=$examples/lakeshore
logs=target/soak
rm -rf "$logs"
mkdir -p "$logs"
sed "s/\"seconds\": [0-9.]*/\"seconds\": $seconds/" examples/soak.json >"$logs/soak.json"
: >"$logs/notes.txt"
trap end_fleet EXIT
trap 'exit 130' INT TERM
# The kernel hangs up a process group that loses its terminal while one of it is paused.
trap '' HUP

# note WORD HOST
note() {
    echo "$(date +%s%3N) $1 $(listens "$fleet/hosts/$2/entry.json")" >>"$logs/notes.txt"
}

# at THOUSANDTHS: waits until this part of the run.
at() {
    local due=$((began + seconds * $1)) now
    now=$(date +%s%3N)
    if ((now < due)); then
        sleep "$(printf '%d.%03d' $(((due - now) / 1000)) $(((due - now) % 1000)))"
    fi
}

kill_entry() { note kill "$1"; end "$1/entry" KILL; }
pause() { kill -STOP "${pids[$1]}"; echo "$1 paused"; }
continue() { kill -CONT "${pids[$1]}"; echo "$1 goes on"; }

start_fleet
for team in assessment register planning; do
    put_section "$team" 0
done
start soak lagoon-load soak --settings "$logs/soak.json"
began=$(date +%s%3N)

at 100; kill_entry erie-shore-1
at 120; start_entry erie-shore-1
at 160; note drain huron-shore-1; end huron-shore-1/entry TERM; start_entry huron-shore-1
# The platform is out from 200 to 250: a newcomer reads the document from its peers.
at 220; kill_entry erie-shore-2; end erie-shore-2/steward KILL
at 230; start_steward erie-shore-2; start_entry erie-shore-2
at 330; end huron-shore-2/steward KILL
at 350; start_steward huron-shore-2
at 370; note pause michigan-shore-1; pause michigan-shore-1/entry
at 385; continue michigan-shore-1/entry; note continue michigan-shore-1
# The last zone is cut off from 420 to 500, and loses a host meanwhile.
at 450; kill_entry michigan-shore-2
at 470; start_entry michigan-shore-2
at 530; pause erie-shore-3/steward
at 560; continue erie-shore-3/steward
at 600; note drain huron-shore-3; end huron-shore-3/entry TERM; start_entry huron-shore-3
# Pauses beyond every lease, of both processes of one host.
at 640; note pause erie-shore-1; pause erie-shore-1/entry; pause erie-shore-1/steward
at 680; continue erie-shore-1/entry; continue erie-shore-1/steward; note continue erie-shore-1
at 700; kill_entry huron-shore-1; end huron-shore-1/steward KILL
at 715; start_steward huron-shore-1; start_entry huron-shore-1
at 800; kill_entry michigan-shore-3
at 820; start_entry michigan-shore-3
at 860; note drain erie-shore-2; end erie-shore-2/entry TERM; start_entry erie-shore-2

code=0
wait "${pids[soak]}" || code=$?
unset 'pids[soak]'
cat "$logs/soak.log"
exit $code
