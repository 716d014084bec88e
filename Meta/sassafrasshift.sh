#!/usr/bin/env bash
# Builds, runs, tests and measures the project; --help lists the commands.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
source Meta/explain-failure.sh
packages=${SASSAFRASSHIFT_PACKAGES:-Meta/packages.txt}

usage() {
    cat <<'H'
Usage: Meta/sassafrasshift.sh COMMAND

  install  install the packages that the build needs (Debian)
  build    configure and build everything into build/
  run      build, then run a deployment end to end on this machine and check the results
  test     build, then run all tests with CTest
  faults   build, then run the fault scenarios with real processes
  model    check the protocol models
  bench    build, then benchmark the policies, the dispatcher core and the ledger
  lint     check formatting and names, and run clang-tidy
  format   format all sources
  serve    build, then run three hosts with their targets until interrupted
  fuzz     build the fuzzers and run each for a number of seconds (20 by default)

Example:
  Meta/sassafrasshift.sh run
H
}

# Prints the listed packages that are installed. dpkg-query fails if it does not know one of them; such a package is not
# installed, so its exit code is ignored.
installed() {
    dpkg-query -W -f '${Package} ${Status}\n' $(cat "$packages") 2>/dev/null | awk '/install ok installed/ {print $1}' || true
}

install() {
    local missing
    missing=$(comm -23 <(sort "$packages") <(installed | sort))
    [ -z "$missing" ] && return
    echo "installing:" $missing >&2
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
}

build() {
    install
    cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; return 1; }
    rm -f build-configure.log
    cmake --build build
}

sources() { git ls-files --cached --others --exclude-standard '*.h' '*.cpp'; }

case "${1:-}" in
install) install ;;
build) build ;;
run) build >&2; exec Meta/run.sh ;;
test) build >&2; exec Meta/test.sh ;;
faults) build >&2; shift; exec Meta/faults.sh "$@" ;;
model) install; exec Meta/model.sh ;;
bench) build >&2; shift; exec Meta/bench.sh "$@" ;;
lint) install; exec Meta/lint.sh ;;
format) sources | xargs clang-format -i ;;
serve) build >&2; exec Meta/serve.sh ;;
fuzz) install; shift; exec Meta/fuzz.sh "$@" ;;
-h | --help) usage ;;
*) usage >&2; exit 2 ;;
esac
