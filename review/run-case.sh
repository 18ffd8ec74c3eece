#!/usr/bin/env bash
# Runs a case: run-case.sh CASE NUMBER. Exit status 1 if the rule was broken, 0
# if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -x review/build/standins ] && [ -x target/apps/galenalinkd ] || exit 2
directory=$(mktemp -d)
timeout 118 review/build/standins "$1" "$2" "$directory"
status=$?
rm -rf "$directory"
[ "$status" -le 1 ] || status=2
exit "$status"
