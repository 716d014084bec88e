#!/usr/bin/env bash
# Measures what one entry host costs, idle and under load: the slopes of docs/CAPACITY.md.
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

# Processor seconds, resident bytes, peer bytes and peer messages of the first host.
snapshot() {
    local pid=${process_of[katutura-1]}
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

report() {
    python3 - "$1" "$2" "$3" "$4" <<'P'
import sys
name, work = sys.argv[1], float(sys.argv[4])
before, after = ([float(x) for x in text.split()] for text in sys.argv[2:4])
seconds = after[0] - before[0]
print(f"| {name} | {(after[1] - before[1]) / seconds * 100:.2f} % of a core | {after[2] / 1e6:.1f} MB | {(after[3] - before[3]) / seconds:.0f} B/s | {(after[4] - before[4]) / seconds:.1f}/s | {(after[1] - before[1]) / work * 1e6 if work else 0:.0f} us |")
P
}

wait_for_seconds() { local end=$((SECONDS + $1)); while [ "$SECONDS" -lt "$end" ]; do read -rt 0.2 <> <(:) || true; done; }

echo "| state of one host of three | processor | resident | to peers | messages to peers | processor each |"
echo "|---|---|---|---|---|---|"
before=$(snapshot); wait_for_seconds 10; after=$(snapshot)
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
    report "$rate requests a second over three hosts" "$before" "$after" $((rate * 8 / 3))
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
report "60 jobs of 10 tasks a second over three hosts; the last column a task start" "$before" "$after" 1600
du -b "$work"/katutura-1/ledger | awk '{print "ledger folder after 480 jobs:", $1, "bytes"}'
stop_all
