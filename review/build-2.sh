#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file. They
# need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/main.rs" ]; then
        rustc --edition 2024 -O "$folder/main.rs" -o "target/review-2/case-$(basename "$folder")"
    fi
done
