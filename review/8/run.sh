#!/usr/bin/env bash
# Runs the case with real daemons on loopback addresses: exit 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/gypsumwinchd ] && [ -x target/review2 ] || { echo "build first"; exit 2; }
timeout 118 target/review2 hopeless target/gypsumwinchd "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
