#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into build-review/ (git ignores it). Needs g++ alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review"
for case in "$root"/review/[0-9]*/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -I "$root/review/rig" "$case" -o "$root/build-review/case-$number.new"
  mv "$root/build-review/case-$number.new" "$root/build-review/case-$number"
done
