#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
program=build-review/case-$number
[ -x target/stonemount ] && [ -x "$program" ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec timeout -k 5 112 "$program" "$here/record.txt"
