#!/usr/bin/env bash
# Configures and builds into BUILD_DIR (default: build); further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Paths below the work tree count as relative, so that another checkout builds from the same cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
cmake -S . -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
