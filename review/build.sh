#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
for source in standin/*.cpp; do
    object=build/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ build/*.o -o build/review_standin -lpthread
