#!/bin/sh
# The store comes back from a copy in a drill, and one host is restarted as planned. TROUBLE=0: without the drill.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$folder/../lab-3/.bin/lab-3"
[ -x "$program" ] && [ -x "$root/target/rhubarbtrackd" ] || { echo "build first: the build line of the deploy file, and review/build-3.sh"; exit 2; }
exec "$program" drill "$root" "$folder/record.txt"
