#!/bin/sh
# Plays the case and writes record.txt here; see claim.txt. Exit status: 1 the rule was broken, 0 it
# held, 2 the case couldn't run. Run the build line of the deploy file and review/build-3.sh first.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -cp target/review-3 review3.ForeignEntry "$here"
