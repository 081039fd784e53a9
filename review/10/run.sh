#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-10
if [ ! -x "$program" ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
exec "$program"
