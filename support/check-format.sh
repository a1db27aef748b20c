#!/usr/bin/env bash
# Fails when a source file is not laid out as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '/generated/' \
  | xargs clang-format --dry-run --Werror
