#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review-3. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 --release 17 -d target/review-3 review/standin-3/review3/*.java
