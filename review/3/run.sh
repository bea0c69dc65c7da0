#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
program=$root/target/review/case$(basename "$case_dir")
[ -x "$program" ] && [ -x "$root/target/release/wharfplank" ] || { echo "not built"; exit 2; }
temporary=$(mktemp -d) || exit 2
timeout -k 2 110 "$program" "$root" "$case_dir" "$temporary" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
rm -rf "$temporary"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
