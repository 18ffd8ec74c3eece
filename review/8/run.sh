#!/usr/bin/env bash
# Backend servers are cut off silently for 0.8 s and start again under their ids
# behind the cut. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 leaves the cuts and the new starts out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apps/galenalinkd ] && [ -x target/review-2/world ] || exit 2
timeout -k 1 118 target/review-2/world restart-under-id review/8/record.txt
status=$?
# Whatever else it ends with: the case could not run.
[ "$status" -le 1 ] || status=2
exit "$status"
