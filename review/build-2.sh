#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -nowarn -d target/review-2 review/kit-2/*.java
