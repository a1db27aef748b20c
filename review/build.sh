#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/standins)
for source in review/standins/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
wait
for source in review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out"/net.o "$out"/deployment.o -o "$out/case-$(basename "$(dirname "$source")")" &
done
wait
