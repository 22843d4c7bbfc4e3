#!/bin/sh
# Builds the stand-ins of all cases into review/out. Needs the JDK and target/lupinwood.jar's build, nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -nowarn -d out src/*.java
