#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.rs; do
    case=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review/case-$case" "$main"
done
