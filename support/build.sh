#!/usr/bin/env bash
# Configures and builds into BUILD_DIR (default: build); further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
