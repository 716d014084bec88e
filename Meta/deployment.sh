# Functions that start and stop a deployment of three hosts and its stand-in targets on loopback addresses.
# Sourced by the other scripts; the caller sets `root` (the source tree) and `work` (a folder for data and logs).

hosts=(katutura-1 windhoek-west-1 khomasdal-1)
domains=(katutura windhoek-west khomasdal)
entries=127.0.1.1:8101,127.0.2.1:8101,127.0.3.1:8101
bin="$root/build/bin"
# Process id of each started host, target group and load generator, by name.
declare -A pids

# Writes the settings file of each host. Data and time lines go to the work folder.
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
    pids[$1]=$!
}

# start_targets NAME DOMAIN-INDEX OPTIONS...: starts a process of stand-in targets in a failure domain. The caller may set
# last_octet, the last octet of the address of these targets (2 by default).
start_targets() {
    local name=$1 domain_index=$2 local_entry
    shift 2
    # A target announces itself to the host of its own failure domain, and to the other hosts if that one is unreachable.
    local_entry="127.0.$((domain_index + 1)).1:8101"
    "$bin/stand-in-target" --identity "$name" --failure-domain "${domains[$domain_index]}" --address "127.0.$((domain_index + 1)).${last_octet:-2}" \
        --entries "$local_entry,$entries" --time-line "$work/$name.jsonl" "$@" 2>>"$work/$name.log" &
    pids[$name]=$!
}

start_deployment() {
    local host domain_index
    write_settings
    for host in "${hosts[@]}"; do start_host "$host"; done
    for domain_index in 0 1 2; do
        last_octet=2 start_targets "executors-${domains[$domain_index]}" "$domain_index" --pool rota-executors --port 10000 --count 4 --capacity 8 --slowness 1,1.5,2,4
        last_octet=3 start_targets "workers-${domains[$domain_index]}" "$domain_index" --worker --pool rota-workers --port 11000 --count 4 --capacity 16 --slowness 1,1.5,2,4
    done
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds, and fails after the given time.
wait_until() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || { echo "timed out waiting for: $*" >&2; return 1; }
        read -rt 0.05 <> <(:) || true
    done
}

# Whether a Python expression over the decoded `status` is true.
status_matches() {
    "$bin/sassafrasshift" status --entry "$entries" --targets --output json | python3 -c "
import json, sys
status = json.load(sys.stdin)
sys.exit(0 if $1 else 1)"
}

# Waits until the ledger has a leader.
wait_for_ledger() {
    wait_until 20 status_matches 'status["ledger"].get("leader")'
}

# Waits until every entry host lists at least the given number of targets.
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

# Stops all started processes with SIGTERM: the hosts first, then the targets. Fails if a host exits with an error.
stop_all() {
    local name failed=0
    for name in "${hosts[@]}"; do
        [ -n "${pids[$name]:-}" ] && kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${hosts[@]}"; do
        [ -z "${pids[$name]:-}" ] || wait "${pids[$name]}" || failed=1
        unset "pids[$name]"
    done
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do wait "${pids[$name]}" || true; done
    pids=()
    return $failed
}

kill_all() {
    local name
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
    pids=()
}
