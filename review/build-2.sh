#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6, 7, 9 and 10 start. Run it after the build of the deploy file, which makes the jar
# that holds the project's own stand-in of the store; without that jar it is made here. Needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/tanagerbank-all.jar ]; then
  mvn -q -o -B -ntp -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true package
fi
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java
