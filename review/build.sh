#!/bin/sh
# Builds the programs of the cases into target/review/, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
make --no-print-directory -j4 BUILD="$(pwd)/target" lib
make --no-print-directory -j4 -C review BUILD="$(pwd)/target" all
