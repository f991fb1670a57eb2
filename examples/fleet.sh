#!/usr/bin/env bash
# A three-zone fleet on loopback, from built binaries: examples/fleet.sh FLEET [COMMAND...]
#
# Starts stand-ins, stewards and entry hosts, stores the teams' sections, then runs COMMAND, or
# waits for Ctrl-C. Ends what it started. Logs are in $LAGOON_LOGS, or in a new folder.
set -euo pipefail
source "$(dirname "$0")/common.sh"

case ${1:-} in
    lakeshore) teams=(assessment register planning) ;;
    vatuwaqa) teams=(labels pickup audits) ;;
    *) echo "usage: $0 lakeshore|vatuwaqa [COMMAND...]" >&2; exit 2 ;;
esac
fleet=$examples/$1
shift
logs=${LAGOON_LOGS:-$(mktemp -d)}
mkdir -p "$logs"
trap end_fleet EXIT
trap 'exit 130' INT TERM

start_fleet
echo "$(hosts | wc -l) entry hosts are ready; logs in $logs"
for team in "${teams[@]}"; do
    put_section "$team" 0
done
if (($#)); then
    "$@"
else
    echo 'Ctrl-C ends the fleet'
    # In the background, so that a signal is handled at once.
    sleep infinity &
    pids[pause]=$!
    wait "${pids[pause]}"
fi
