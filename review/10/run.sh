#!/bin/sh
# TROUBLE=0 runs the case without the disruption; it must hold then.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "$(dirname "$0")/../standin-2/run-case.sh" 10
