#!/usr/bin/env bash
# Fails when the committed Cap'n Proto code does not match the schema. Passes over where the
# generator is absent, since the build needs none.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v capnp >/dev/null; then
  echo "capnp is not installed: generated code not checked"
  exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
capnp compile -oc++:"$fresh" --src-prefix=src/wire src/wire/applehatch.capnp
diff -r "$fresh" src/wire/generated
