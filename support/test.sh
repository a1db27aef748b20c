#!/usr/bin/env bash
# Installs, builds and runs every test. Tests named in KNOWN-RED.txt are run and printed apart.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
support/build.sh "$@"
support/run-tests.sh "${BUILD_DIR:-build}"
