#!/usr/bin/env bash
# Builds the programs of the scripts of the third review: the stand-ins need only the standard
# library, so no package is fetched. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for main in review/1[1-5]/main.rs; do
    [ -e "$main" ] || continue
    case=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review-3/case-$case" "$main"
done
