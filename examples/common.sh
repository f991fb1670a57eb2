# Starts and ends the processes of an example fleet; to be sourced by the scripts beside it.
# Every process is known by its process id and ended by it.

examples=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
bin=${LAGOON_BIN:-$examples/../target/release}
declare -A pids=()      # process id by name: standin, HOST/steward, HOST/entry

# start NAME PROGRAM ARGUMENT...: logs to $logs/NAME.log
start() {
    local name=$1 program=$2 log=$logs/${1//\//-}.log
    shift 2
    "$bin/$program" "$@" >>"$log" 2>&1 &
    pids[$name]=$!
}

hosts() { (cd "$fleet/hosts" && ls -d -- *); }

start_steward() { start "$1/steward" lagoon-steward --settings "$fleet/hosts/$1/steward.json"; }
start_entry() { start "$1/entry" lagoon-entry --settings "$fleet/hosts/$1/entry.json"; }

# listens FILE: the address that a settings file names.
listens() { sed -n 's/.*"listen": "\([^"]*\)".*/\1/p' "$1"; }

# wait_ready HOST...: until each answers /readyz with 200, for 15 s at most.
wait_ready() {
    local host address tries
    for host in "$@"; do
        address=$(listens "$fleet/hosts/$host/entry.json")
        for ((tries = 0; ; tries++)); do
            curl -sf -o /dev/null -m 1 "http://$address/readyz" && break
            if ((tries == 150)); then
                echo "$host is not ready" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

start_fleet() {
    local host
    start standin lagoon-standin --settings "$fleet/standin.json"
    for host in $(hosts); do
        start_steward "$host"
        start_entry "$host"
    done
    wait_ready $(hosts)
}

# put_section TEAM FROM
put_section() {
    "$bin/lagoonctl" --settings "$fleet/lagoonctl.json" \
        section put "$1" "$fleet/section-$1.json" --from "$2"
}

# end NAME SIGNAL: sends the signal and waits; prints the exit code.
end() {
    local pid=${pids[$1]:-} code=0
    [ -n "$pid" ] || return 0
    kill "-$2" "$pid" 2>/dev/null || true
    # The shell's own word on a killed job would only repeat what is printed below.
    wait "$pid" 2>/dev/null || code=$?
    unset "pids[$1]"
    echo "$1 ended by $2 with $code"
}

# Ends whatever still runs; entry hosts drain first, all at once.
end_fleet() {
    local name
    for name in "${!pids[@]}"; do
        case $name in */entry) kill -TERM "${pids[$name]}" 2>/dev/null || true ;; esac
    done
    for name in "${!pids[@]}"; do
        case $name in */entry) end "$name" TERM >>"$logs/end.log" ;; esac
    done
    for name in "${!pids[@]}"; do
        end "$name" TERM >>"$logs/end.log"
    done
}
