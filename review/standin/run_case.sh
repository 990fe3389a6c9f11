#!/bin/bash
# Runs case N: run_case.sh N. The exit code is that of the case: 0 the rule held, 1 it was broken, 2 the
# case could not run. TROUBLE=0 leaves the disruption out. Writes record.txt in the case's folder.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
program="target/review/case-$number"
if [ ! -x "$program" ] || [ ! -x target/ridgepulley ]; then
    echo "build the deploy file, then review/build.sh" >&2
    exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
"$program" "review/$number/record.txt" "$directory" &
case=$!
trap 'kill "$case" 2>/dev/null' TERM INT HUP
wait "$case"
code=$?
grep -h " error node=" "$directory"/*.log 2>/dev/null | head -20 >>"review/$number/record.txt"
[ "$code" -le 2 ] || code=2
exit "$code"
