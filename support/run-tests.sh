#!/usr/bin/env bash
# Runs the tests of a build tree. Failures of exactly the tests listed in KNOWN-RED.txt (first
# field of each line, before the first '|') are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
known=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt 2>/dev/null | cut -d'|' -f1 | sed 's/ *$//' | paste -sd'|' - || true)
if [ -z "$known" ]; then
  ctest --test-dir "$build" --parallel 4 --timeout 900 --output-on-failure --no-tests=error
  exit
fi
echo "known red, run but passed over:"
grep -vE '^\s*(#|$)' KNOWN-RED.txt
ctest --test-dir "$build" --output-on-failure -R "^($known)\$" || echo "known red tests failed as listed"
ctest --test-dir "$build" --parallel 4 --timeout 900 --output-on-failure --no-tests=error -E "^($known)\$"
