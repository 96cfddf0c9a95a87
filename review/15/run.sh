#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bin/poplarpass target/review-3/scenario; do
    [ -x "$program" ] || exit 2
done
timeout -k 2 118 target/review-3/scenario late-start-down target/bin/poplarpass review/15/record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
