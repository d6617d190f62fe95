#!/bin/sh
# Builds the stand-ins of all cases; needs the build of the deploy file first.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/out
mkdir -p review/out
exec javac -nowarn -encoding UTF-8 -cp target/ternhinge.jar -d review/out review/common/*.java review/[0-9]*/*.java
