#!/usr/bin/env bash
# Runs a deployment of three hosts and their targets until it is interrupted.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
work=$(mktemp -d)
source "$root/Meta/deployment.sh"
trap 'stop_all || true; rm -rf "$work"' EXIT
trap 'exit 0' INT TERM
start_deployment
wait_for_ledger
"$bin/sassafrasshift" publish --entry "$entries" --author serve "$root"/Base/examples/objects/*.yaml --wait
wait_for_targets 8
echo "serving at $entries; data and logs in $work; press Ctrl-C to stop"
wait
