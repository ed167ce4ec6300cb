#!/bin/sh
# Runs the scenario of a case: review/run-scenario.sh N. Exits with its verdict.
set -u
cd "$(dirname "$0")/.."
program=target/review/scenario-$1
if [ ! -x "$program" ] || [ ! -x target/Source/sapphireladder ]; then
    echo "build the program and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 "$program" "review/$1/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
