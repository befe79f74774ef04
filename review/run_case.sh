#!/usr/bin/env bash
# Plays one case: run_case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. With TROUBLE=0 the disruption is left out. The record is written to FOLDER/record.txt.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
standin=review/build/review_standin
program=$PWD/target/jacinthvane
if [ ! -x "$standin" ] || [ ! -x "$program" ]; then
    echo "build target/jacinthvane and run review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
"$standin" "$name" "$scratch" "$program" "${TROUBLE:-1}"
result=$?
cp "$scratch/record.txt" "$folder/record.txt" 2>/dev/null
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$scratch"/*.log "$KEEP_LOGS"
fi
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
