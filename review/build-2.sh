#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, beside the build of the deploy file.
# The stand-in of the store is the project's own and lies in the jar which that build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/tanagerbank-all.jar ] || { echo "target/tanagerbank-all.jar is missing: run the build of deploy/system.toml" >&2; exit 1; }
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
