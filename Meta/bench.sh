#!/usr/bin/env bash
# Benchmarks the scheduling policies, the dispatcher core and the ledger. The figures of bench-policies depend only on the seed.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
cd "$root"
build/bin/bench-policies "$@"
echo
build/bin/bench-core
echo
build/bin/bench-ledger
