#!/usr/bin/env bash
# Builds the stand-ins of the cases with a script, with the compiler alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/main.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O "$case" -o "target/review/case$number"
done
