#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bin/poplarpass target/review-3/scenario; do
    [ -x "$program" ] || exit 2
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder target/review-3/scenario late-start-down target/bin/poplarpass review/15/record.txt &
scenario=$!
trap 'kill -TERM "$scenario" 2>/dev/null' HUP INT TERM
wait "$scenario"
result=$?
if [ "$result" -gt 1 ]; then
    wait "$scenario" 2>/dev/null
    exit 2
fi
exit "$result"
