#!/usr/bin/env bash
# Measures the CPU time, memory and peer traffic of one entry host, idle and under load. The results are
# the slopes of docs/CAPACITY.md.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
work=$(mktemp -d)
source "$root/Meta/deployment.sh"
trap 'kill_all; rm -rf "$work"' EXIT
start_deployment
wait_for_ledger
"$bin/sassafrasshift" publish --entry "$entries" --author capacity "$root"/Base/examples/objects/*.yaml --wait >/dev/null
wait_for_targets 8

# Prints the time in seconds, and the CPU seconds, resident bytes, peer bytes sent and peer messages sent of the first host.
snapshot() {
    local pid=${pids[katutura-1]}
    python3 - "$pid" <<'P'
import os, sys, time, urllib.request
pid = sys.argv[1]
fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
ticks = os.sysconf("SC_CLK_TCK")
text = urllib.request.urlopen("http://127.0.1.1:8101/metrics").read().decode()
total = lambda name: sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith("sassafrasshift_" + name))
print(time.monotonic(), (int(fields[11]) + int(fields[12])) / ticks, int(fields[21]) * 4096, total("peer_bytes_sent"), total("peer_messages_sent{"))
P
}

# report STATE BEFORE AFTER OPERATIONS: prints the difference of two snapshots as a table row. OPERATIONS is the number of
# requests or task starts that one host handled between them.
report() {
    python3 - "$1" "$2" "$3" "$4" <<'P'
import sys
name, operations = sys.argv[1], float(sys.argv[4])
before, after = ([float(x) for x in text.split()] for text in sys.argv[2:4])
seconds = after[0] - before[0]
print(f"| {name} | {(after[1] - before[1]) / seconds * 100:.2f} % of a core | {after[2] / 1e6:.1f} MB | {(after[3] - before[3]) / seconds:.0f} B/s | {(after[4] - before[4]) / seconds:.1f}/s | {(after[1] - before[1]) / operations * 1e6 if operations else 0:.0f} us |")
P
}

# Waits the given number of seconds.
wait_seconds() { local end=$((SECONDS + $1)); while [ "$SECONDS" -lt "$end" ]; do read -rt 0.2 <> <(:) || true; done; }

echo "| state of one of three hosts | CPU | resident memory | bytes to peers | messages to peers | CPU per operation |"
echo "|---|---|---|---|---|---|"
before=$(snapshot); wait_seconds 10; after=$(snapshot)
report "idle, 8 targets in its failure domain" "$before" "$after" 0
for rate in 150 450; do
    cat >"$work/requests.yaml" <<P
name: requests
duration: 8s
service: rota-desk
requestRate: $rate
requestRunTimeMinimum: 20ms
requestRunTimeMaximum: 40ms
P
    before=$(snapshot)
    "$bin/sassafrasshift" load --entry "$entries" --output json "$work/requests.yaml" >"$work/result.json"
    after=$(snapshot)
    report "$rate requests per second over three hosts" "$before" "$after" $((rate * 8 / 3))
done
cat >"$work/jobs.yaml" <<P
name: jobs
duration: 8s
taskKind: shift-plan
jobRate: 60
widthMinimum: 10
widthMaximum: 10
taskRunTimeMinimum: 20ms
taskRunTimeMaximum: 40ms
P
before=$(snapshot)
"$bin/sassafrasshift" load --entry "$entries" --output json "$work/jobs.yaml" >"$work/result.json"
after=$(snapshot)
report "60 jobs of 10 tasks per second over three hosts; an operation is a task start" "$before" "$after" 1600
du -b "$work"/katutura-1/ledger | awk '{print "size of the ledger folder after 480 jobs:", $1, "bytes"}'
stop_all
