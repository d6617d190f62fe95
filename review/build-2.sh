#!/bin/sh
# Compiles the stand-ins of the cases 4 to 6 with the JDK alone, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-ins-2/*.java
