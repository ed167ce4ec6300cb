#!/bin/sh
# Runs the program of the case whose number is given. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/case-$1"
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$program" ] && [ -n "$command" ] || exit 2
folder=$(mktemp -d) || exit 2
# The command of the deploy file is split at spaces, as the platform does.
# shellcheck disable=SC2086
timeout -k 5 110 "$program" review/standin-2 "$folder" "review/$1/record.txt" $command
result=$?
rm -rf "$folder"
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
