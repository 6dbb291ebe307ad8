#!/usr/bin/env bash
# Runs the case of the folder $1; used by the cases' own run.sh. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case couldn't run.
here=$(cd "$1" && pwd)
cd "$here/../.." || exit 2
program="target/review/case-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x target/release/heatherseam ]; then
    echo "build target/release/heatherseam and run review/build.sh first" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export WORK RECORD="$here/record.txt"
"$program" | tee "$WORK/said"
code=${PIPESTATUS[0]}
# Ends the nodes that the program has started and not ended, by their ids.
for pid in $(sed -n 's/^PID //p' "$WORK/said"); do
    if grep -qs "^target/release/heatherseam" "/proc/$pid/cmdline"; then
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    fi
done
if [ "${KEEP:-0}" = 0 ]; then rm -rf "$WORK"; else echo "kept $WORK"; fi
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
