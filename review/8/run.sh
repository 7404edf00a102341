#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/review-2/case target/release/pinetrail; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2/case memory "$folder"
