#!/usr/bin/env bash
# Runs the case in the folder review/$1: 1 if its rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dandelionridge ] && [ -x "target/review-3/$1" ] || { echo "build first" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -k 5 115 "target/review-3/$1" "review/$1/record.txt" "$scratch"
status=$?
[ "${KEEP_LOGS:-}" ] && cp -r "$scratch" "$KEEP_LOGS"
tail -n 1 "review/$1/record.txt"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
