#!/usr/bin/env bash
# Plays the case "kind" of review/stand. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gypsumwinchd ] || [ ! -x target/review-stand ]; then
  echo 'build first: the command of deploy/system.toml, then review/build.sh'
  exit 2
fi
timeout -k 2 115 target/review-stand kind review/3
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
