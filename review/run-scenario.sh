#!/bin/sh
# Runs a scenario with a temporary folder: run-scenario.sh PROGRAM RECORD. Exits with its verdict.
# The scenario reads TROUBLE and writes RECORD.
set -u
cd "$(dirname "$0")/.."
program=$1
record=$2
rm -f "$record"
if [ ! -x "$program" ] || [ ! -x target/Source/sapphireladder ]; then
    echo "build the program and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 "$program" "$record" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
[ -s "$record" ] || status=2
exit "$status"
