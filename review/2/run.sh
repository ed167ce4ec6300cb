#!/bin/sh
# Case 2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run is written to record.txt.
set -u
cd "$(dirname "$0")/../.."
record=review/2/record.txt
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec review/run-scenario.sh target/review/scenario-2 "$record"
