#!/usr/bin/env bash
# Installs what is needed, builds, and shows the whole path on loopback. Fails when a step fails.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
support/build.sh
exec "${BUILD_DIR:-build}/bin/demo"
