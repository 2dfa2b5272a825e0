#!/usr/bin/env bash
# Plays the case "all-replaced" of the second review. Exit codes: 0 the rule held,
# 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
daemon=target/src/chervilkeeld/chervilkeeld
standin=review/standin-2/bin/case
[ -x "$daemon" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 112 "$standin" all-replaced "$daemon" platform "$folder" review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
