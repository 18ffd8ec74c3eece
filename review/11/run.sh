#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of
# deploy/system.toml and review/build-3.sh. The nodes end with the program.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apps/galenalinkd ] && [ -x target/review-3/cases ] || exit 2
timeout 118 target/review-3/cases times review/11/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
