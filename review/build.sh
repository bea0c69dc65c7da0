#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into target/review, from the standard library alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
for case in "$root"/review/[0-9]; do
  [ -f "$case/main.rs" ] || continue
  rustc --edition 2021 -O --crate-name "case$(basename "$case")" -o "$root/target/review/case$(basename "$case")" "$case/main.rs"
done
