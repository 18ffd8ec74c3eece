#!/usr/bin/env bash
# The leading process is killed again and again while the store answers slowly
# in part. Needs the build of the deploy file and review/build-2.sh. TROUBLE=0
# leaves the slow answers out; the processes are killed and restarted all the
# same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apps/galenalinkd ] && [ -x target/review-2/world ] || exit 2
timeout -k 1 118 target/review-2/world slow-claim review/6/record.txt
status=$?
# Whatever else it ends with: the case could not run.
[ "$status" -le 1 ] || status=2
exit "$status"
