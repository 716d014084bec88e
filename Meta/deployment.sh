# Functions that start and stop a deployment of three hosts and its stand-in targets on loopback.
# Sourced by the other scripts; the caller sets `root` and `work`.

hosts=(katutura-1 windhoek-west-1 khomasdal-1)
domains=(katutura windhoek-west khomasdal)
entries=127.0.1.1:8101,127.0.2.1:8101,127.0.3.1:8101
bin="$root/build/bin"
declare -A process_of

# Writes the settings of each host, with its data under the work folder.
write_settings() {
    local host
    for host in "${hosts[@]}"; do
        sed -e "s|^host: .*|host: $host|" \
            -e "s|^dataFolder:.*|dataFolder: $work/$host|" \
            -e "s|^timeLineFile:.*|timeLineFile: $work/$host.jsonl|" \
            "$root/Base/examples/sassafrasshiftd.yaml" >"$work/$host.yaml"
    done
}

start_host() {
    "$bin/sassafrasshiftd" --settings "$work/$1.yaml" 2>>"$work/$1.log" &
    process_of[$1]=$!
}

# start_targets NAME DOMAIN-INDEX KIND-OPTIONS...
start_targets() {
    local name=$1 index=$2 near
    shift 2
    # A target announces itself to the host of its own failure domain, and to the others where that is gone.
    near="127.0.$((index + 1)).1:8101"
    "$bin/stand-in-target" --identity "$name" --failure-domain "${domains[$index]}" --address "127.0.$((index + 1)).${address:-2}" \
        --entries "$near,$entries" --time-line "$work/$name.jsonl" "$@" 2>>"$work/$name.log" &
    process_of[$name]=$!
}

start_deployment() {
    local host index
    write_settings
    for host in "${hosts[@]}"; do start_host "$host"; done
    for index in 0 1 2; do
        address=2 start_targets "executors-${domains[$index]}" "$index" --pool rota-executors --port 10000 --count 4 --capacity 8 --slowness 1,1.5,2,4
        address=3 start_targets "workers-${domains[$index]}" "$index" --worker --pool rota-workers --port 11000 --count 4 --capacity 16 --slowness 1,1.5,2,4
    done
}

# Waits until a command succeeds; fails after some seconds (the first argument).
wait_until() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || { echo "gave up waiting for: $*" >&2; return 1; }
        read -rt 0.05 <> <(:) || true
    done
}

status_has() {
    "$bin/sassafrasshift" status --entry "$entries" --targets --output json | python3 -c "
import json, sys
status = json.load(sys.stdin)
sys.exit(0 if $1 else 1)"
}

# Waits until the ledger has a leader.
wait_for_ledger() {
    wait_until 20 status_has 'status["ledger"].get("leader")'
}

# Waits until every host that is asked knows its targets.
wait_for_targets() {
    local entry
    for entry in ${entries//,/ }; do
        wait_until 20 entry_has_targets "$entry" "$1"
    done
}

entry_has_targets() {
    "$bin/sassafrasshift" status --entry "$1" --targets --output json | python3 -c "
import json, sys
sys.exit(0 if len(json.load(sys.stdin)['targets']) >= $2 else 1)"
}

# Ends what was started, gracefully, and reports what did not end.
stop_all() {
    local name failed=0
    for name in "${hosts[@]}"; do
        [ -n "${process_of[$name]:-}" ] && kill -TERM "${process_of[$name]}" 2>/dev/null || true
    done
    for name in "${hosts[@]}"; do
        [ -z "${process_of[$name]:-}" ] || wait "${process_of[$name]}" || failed=1
        unset "process_of[$name]"
    done
    for name in "${!process_of[@]}"; do kill -TERM "${process_of[$name]}" 2>/dev/null || true; done
    for name in "${!process_of[@]}"; do wait "${process_of[$name]}" || true; done
    process_of=()
    return $failed
}

kill_all() {
    local name
    for name in "${!process_of[@]}"; do kill -KILL "${process_of[$name]}" 2>/dev/null || true; done
    process_of=()
}
