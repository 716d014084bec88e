#!/usr/bin/env bash
# Runs the fault scenarios with real processes. The last line of output is a JSON object.
# Usage: Meta/faults.sh [SCENARIO...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
exec python3 "$root/Tests/Faults/run.py" "$@"
