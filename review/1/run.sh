#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common/run_case.sh" "$(dirname "$0")"
