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
for schema in wire/applehatch gateway/peer; do
  package=${schema%/*}
  mkdir -p "$fresh/$package"
  capnp compile -oc++:"$fresh/$package" --src-prefix="src/$package" "src/$schema.capnp"
  diff -r "$fresh/$package" "src/$package/generated"
done
