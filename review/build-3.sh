#!/bin/sh
# Builds the stand-ins of the third review. They are Python sources of the
# standard library alone, so there is nothing to install: they are compiled.
set -eu
cd "$(dirname "$0")"
for folder in common-3 11 12 13 14 15; do
    python3 -m compileall -q -f "$folder"
done
