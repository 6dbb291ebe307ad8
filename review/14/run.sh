#!/usr/bin/env bash
# Case 14; about 20 s. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out; the program reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
target/review-3/case-14 "${RECORD_FOLDER:-review/14}"
code=$?
# A program that could not run has panicked, which ends its nodes.
[ "$code" -le 1 ] || code=2
exit "$code"
