#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: compiles their Python files, so
# that a fault in one shows here. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f common-2 ./[6-9]*
