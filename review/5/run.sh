#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: without the disruption. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/chervilkeeld/chervilkeeld ] && [ -x review/build/case ] || exit 2
timeout -s TERM 115 review/build/case service review/5
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
