#!/usr/bin/env bash
# Builds, then measures cache reuse, skew and control traffic on real processes on loopback.
# Usage: support/measure.sh ledgerworks|cwm-taf [--seconds N] [--seed N] [--curve]
#        [--variant NAME] [--logs FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target measures >&2
exec "$build/bin/measures" "$@"
