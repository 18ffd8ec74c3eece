#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the same without the disruption. What was sent, answered
# and run is written to record.txt in this folder.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec "$here/../run-case.sh" ends "$here/record.txt"
