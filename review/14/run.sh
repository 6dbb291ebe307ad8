#!/usr/bin/env bash
# Case 14; about 15 s. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/case-14 "${RECORD_FOLDER:-review/14}"
