#!/usr/bin/env bash
# Builds with ThreadSanitizer into BUILD_DIR (default: build-races) and runs what has threads: the
# wire, the programs' shared parts, and fleets of real processes. A race ends its process at once, with 66, so that the test that started it fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build-races}
cmake -S . -B "$build" -G Ninja -DAPPLEHATCH_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$build" --target wire-tests process-tests router-tests clients-tests system-tests \
  applehatch-router-program applehatch-sidecar-program
export TSAN_OPTIONS="suppressions=$PWD/support/tsan-suppressions.txt exitcode=66 halt_on_error=1"
ctest --test-dir "$build" --parallel 2 --timeout 300 --output-on-failure --no-tests=error \
  -R "${1:-^(wire|process|router|clients)$|system/(path|broken|stopping|repeats)}"
