#!/bin/bash
# Open connections to the store go silent right after a manifest; the next one is in force too late.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/ferry-platform target/review-3/rig-3; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-3.sh"; exit 2; }
done
target/review-3/rig-3 route-after-silence review/14
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
