#!/usr/bin/env bash
# Measures the decisions and the ledger. The policy figures depend on the seed only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
cd "$root"
build/bin/bench-policies "$@"
echo
build/bin/bench-core
echo
build/bin/bench-ledger
