#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 target/review2/stand2 expire review/7 target/slaterock
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
