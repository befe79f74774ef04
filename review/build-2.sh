#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, from the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in http platform deployment cases main; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "review/standin-2/$source.cpp" -o "target/review-2/$source.o" &
    jobs+=("$!")
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ -pthread target/review-2/*.o -o target/review-2/review-standin
