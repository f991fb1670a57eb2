#!/bin/sh
# Builds the scripts of cases 6 and 7 and their stand-ins, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7; do
    rustc --edition 2024 -O -o "target/review-2/case-$case" "review/$case/case.rs"
done
