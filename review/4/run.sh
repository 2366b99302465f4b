#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/.bin/restarts
if [ ! -x "$program" ] || [ ! -x "$root/target/rhubarbtrackd" ]; then
  echo "build the project and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 110 "$program" "$root" "$folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
