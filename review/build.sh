#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs the build of the deploy file, a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java
