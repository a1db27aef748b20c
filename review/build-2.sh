#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases from 6 on, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -pthread)
objects=()
for source in review/standins-2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$(basename "$(dirname "$source")")"
done
