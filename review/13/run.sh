#!/usr/bin/env bash
# Runs case 13. With TROUBLE=0 it does the same without the disruption, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../support-3/run.sh" 13
