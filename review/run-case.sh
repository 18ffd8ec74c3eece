#!/usr/bin/env bash
# Runs a case: run-case.sh CASE RECORD, with TROUBLE in the environment. The
# stand-ins start the nodes with the command of the deploy file, write RECORD and
# end the nodes. Exit status as in the cases' run.sh.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -x review/build/standins ] && [ -x target/apps/galenalinkd ] || exit 2
directory=$(mktemp -d)
timeout 118 review/build/standins "$1" "$2" "$directory"
status=$?
rm -rf "$directory"
[ "$status" -le 1 ] || status=2
exit "$status"
