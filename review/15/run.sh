#!/bin/sh
# Plays the case and writes record.txt here; see claim.txt. Exit status: 1 the rule was broken, 0 it
# held, 2 the case couldn't run. Run review/build-3.sh and the build line of the deploy file first.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -cp target/review-3 review3.ForeignEntry "$here"
