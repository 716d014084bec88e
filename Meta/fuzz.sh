#!/usr/bin/env bash
# Builds the fuzzers with separately compiled, instrumented copies of the library sources, and runs each for a number of
# seconds (the first argument, 20 by default).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/Meta/explain-failure.sh"
seconds=${1:-20}
folder="$root/build/fuzz"
mkdir -p "$folder"
cd "$root"
libraries=(Libraries/LibBase/*.cpp Libraries/LibSettings/*.cpp Libraries/LibCatalog/*.cpp Libraries/LibLedger/Types.cpp Libraries/LibLedger/Frame.cpp)
platform=(platform/Decode.cpp platform/JsonReader.cpp platform/Orders.cpp Libraries/LibScheduler/*.cpp Libraries/LibTransport/Endpoint.cpp Libraries/LibTransport/HttpMessage.cpp)
status=0
for fuzzer in Frame Messages Objects Platform Connections; do
    sources=("${libraries[@]}")
    sanitizers=fuzzer,address
    if [ "$fuzzer" = Platform ]; then
        sources+=("${platform[@]}")
        sanitizers+=,undefined
    fi
    if [ "$fuzzer" = Connections ]; then
        sources+=(Libraries/LibTransport/ConnectionBudget.cpp Libraries/LibTransport/Http2FrameCounter.cpp)
        sanitizers+=,undefined
    fi
    clang++ -std=gnu++20 -g -O1 -w "-fsanitize=$sanitizers" -fno-sanitize-recover=all -I. -ILibraries "Tests/Fuzz/Fuzz$fuzzer.cpp" "${sources[@]}" -lyaml-cpp -lxxhash -o "$folder/Fuzz$fuzzer"
    corpora=("corpus-$fuzzer")
    if [ -d "Tests/Fuzz/Corpus/$fuzzer" ]; then
        corpora+=("$root/Tests/Fuzz/Corpus/$fuzzer")
    fi
    mkdir -p "$folder/corpus-$fuzzer"
    if (cd "$folder" && "./Fuzz$fuzzer" -max_total_time="$seconds" -rss_limit_mb=2000 -print_final_stats=1 "${corpora[@]}" >"$fuzzer.log" 2>&1); then
        echo "Fuzz$fuzzer: no failure in $(grep -oP 'number_of_executed_units: \K\d+' "$folder/$fuzzer.log") runs"
    else
        echo "Fuzz$fuzzer: failed, see $folder/$fuzzer.log"
        status=1
    fi
done
exit $status
