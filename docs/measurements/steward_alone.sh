#!/bin/sh
# Resident memory and processor time of one lagoon-steward process beside a fleet that
# control_bench keeps up with `hold=90`.
#
# steward_alone.sh STEWARD_PROGRAM PLATFORM_ADDRESS STEWARD_ADDRESS SECONDS
set -eu
settings=$(mktemp)
printf '{"host": "suva-alone", "zone": "suva", "listen": "127.0.0.1:0", "key": "fleet",
 "platform": {"address": "%s"}, "peers": ["%s"]}' "$2" "$3" > "$settings"
"$1" --settings "$settings" 2>/dev/null &
steward=$!
trap 'kill "$steward"; rm -f "$settings"' EXIT
sleep 15
ticks() { awk '{print $14 + $15}' "/proc/$steward/stat"; }
before=$(ticks)
sleep "$4"
after=$(ticks)
grep -E 'VmRSS|VmHWM|Threads' "/proc/$steward/status"
echo "share of a core: $(echo "$before $after $4" | awk '{print ($2 - $1) / 100 / $3}')"
