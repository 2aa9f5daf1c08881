#!/bin/sh
# Installs the libraries of the daemon, copies its code beside them and
# compiles everything: a daemon starts often and cannot store what it compiles
# at run time. The compiled files use unchecked hashes, so they stay valid
# when the modification times of the sources change.
set -eu
deps=target/deps
pins=requirements/platform.txt
if ! [ "$deps/.pins" -nt "$pins" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --require-hashes --target "$deps" -r "$pins"
    touch "$deps/.pins"
fi
rm -rf "$deps/dragonflyknot" target/platform
mkdir -p "$deps/dragonflyknot"
for package in decisions exchange callers upstreams peers stores daemon; do
    cp -r "packages/$package/src/dragonflyknot/$package" "$deps/dragonflyknot/"
done
cp -r platform target/platform
python3 -m compileall -q -f --invalidation-mode unchecked-hash \
    "$deps" target/platform
