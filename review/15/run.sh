#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout 110 target/review-3/overloaded_version review/15/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
