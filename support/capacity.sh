#!/usr/bin/env bash
# Prints every slope of docs/CAPACITY.md as JSON lines with fits; a few minutes. An argument
# `quick` leaves out the real processes and the fleet of settings replicas.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
printf '{"machine":"%s","cores":%s,"load":"%s"}\n' \
  "$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -1)" "$(nproc)" "$(cut -d' ' -f1-3 /proc/loadavg)"
"$build/bin/slopes"
if [ "${1:-}" = quick ]; then exit; fi
"$build/bin/slopes-fleet"
"$build/test/core-tests" --run_test='settings_replica_fleet' --log_level=message 2>&1 | grep -v '^Running'
