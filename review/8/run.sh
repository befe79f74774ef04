#!/usr/bin/env bash
# Workers are added to a queue with advice.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/jacinthvane"
standin="$root/target/review-2/review-standin"
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "build the program as the deploy file does, and the stand-ins with review/build-2.sh"
    exit 2
fi
folder="$(mktemp -d)" || exit 2
child=
# Whoever ends this script ends what it started as well: the stand-in's processes end with it.
trap '[ -z "$child" ] || kill "$child" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' HUP INT TERM
timeout 118 "$standin" advice "$program" "$folder" "$here/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
