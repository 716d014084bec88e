#!/usr/bin/env bash
# Checks the formatting of all sources, runs clang-tidy, and rejects names of the users' platform outside platform/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
cd "$root"
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
# Names of the users' platform may appear in production code only under platform/.
if git grep -nE 'run-start|run-stop|heartbeat_addr|last_seen|best_effort|Expect-Instance|max_attempts|target_latency_ms' -- Libraries Services Utilities Benchmarks; then
    echo "lint: names of the users' platform outside platform/" >&2
    exit 1
fi
clang-format --dry-run --Werror "${files[@]}"
[ -f build/compile_commands.json ] || Meta/sassafrasshift.sh build >&2
mapfile -t units < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '^Tests/Fuzz/')
# clang 14 reports every defaulted operator<=> as a null pointer constant, so this warning is left to the build compiler.
mkdir -p build/lint
sed 's/-Werror=zero-as-null-pointer-constant//g' build/compile_commands.json >build/lint/compile_commands.json
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build/lint --quiet 2>/dev/null
echo "lint: ${#files[@]} files are clean"
