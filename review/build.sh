#!/bin/sh
# Builds the stand-ins that the scripts start. They need the standard library
# alone; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -rf target/review/common
cp -r review/common target/review/common
python3 -m compileall -q -f target/review/common
