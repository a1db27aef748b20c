#!/usr/bin/env bash
# Plays case 8 against the gateway of the deploy file's build. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
driver=target/review-2/case-8
[ -x target/bin/applehatch-gateway ] && [ -x "$driver" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 115 "$driver" "$folder" review/8/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
