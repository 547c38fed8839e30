#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same comes without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
timeout --kill-after=3 117 java -Xmx256m -cp target/review-2 KeyAfterDrill . review/9
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
