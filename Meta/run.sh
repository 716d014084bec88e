#!/usr/bin/env bash
# Runs a deployment end to end on this machine and checks the results: publish, load, change, drain and graceful stop.
# The last line of output is a JSON object.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
work=$(mktemp -d)
source "$root/Meta/deployment.sh"
trap 'kill_all; rm -rf "$work"' EXIT

objects=("$root"/Base/examples/objects/*.yaml)
echo "starting three entry hosts and their targets"
start_deployment
wait_for_ledger
echo "publishing the configuration"
"$bin/sassafrasshift" publish --entry "$entries" --author run "${objects[@]}" --wait
wait_for_targets 8

echo "sending requests and jobs"
"$bin/sassafrasshift" load --entry "$entries" --duration "${duration:-8s}" --time-line "$work/load-1.jsonl" --output json \
    "$root/Base/profiles/khomas.yaml" >"$work/load-1.json" &
pids[load]=$!
wait_until 20 grep -q '"client-answered"' "$work/load-1.jsonl"

echo "publishing a change under load"
sed 's/queueLimit: 5000/queueLimit: 6000/' "$root/Base/examples/objects/rota.yaml" >"$work/rota.yaml"
"$bin/sassafrasshift" publish --entry "$entries" --author run --wait --output json "$root/Base/examples/objects/domains.yaml" "$work/rota.yaml" >"$work/publish.json"
cat "$work/publish.json"

echo "draining a target"
"$bin/sassafrasshift" drain --entry "$entries" --author run executors-katutura-0
wait "${pids[load]}"
unset "pids[load]"

echo "stopping all processes"
stopped=true
stop_all || stopped=false
status=0
"$bin/sassafrasshift" replay "$work"/*.jsonl >"$work/replay.json" || status=1
python3 - "$work" "$stopped" <<'P' || status=1
import json, sys
work, stopped = sys.argv[1], sys.argv[2] == "true"
load = json.load(open(f"{work}/load-1.json"))
result = json.load(open(f"{work}/replay.json"))
result["config_in_force_ms"] = json.load(open(f"{work}/publish.json"))["inForceMs"]
for name in ("messages", "wasted_messages", "wasted_by_unused_grants", "wasted_by_returned_hand_overs", "wasted_by_repeated_proposals", "upkeep_messages", "wrong", "jobs_cancelled"):
    result[name] = load[name]
result["request_over_run_time"] = load["request_over_run_time"]
result["job_over_longest_task"] = load["job_over_longest_task"]
result["stopped_gracefully"] = stopped
print(json.dumps(result))
violations = ("started_twice", "lost", "partial", "wrong_caller", "false_not_run", "reverted", "started_after_leaving", "wrong")
sys.exit(0 if stopped and all(result[name] == 0 for name in violations) and result["answered"] > 0 and result["jobs_complete"] > 0 else 1)
P
exit $status
