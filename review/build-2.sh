#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of deploy/system.toml. Needs rustc
# and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
