#!/usr/bin/env bash
# Runs clang-tidy over the project's own sources, in parallel. Arguments name single files. A file
# whose whole input was found clean on this machine before is not linted again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cc' 'test/*.cc' 'platform/*.cc' | grep -v '/generated/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 support/lint-file.py "$build"
