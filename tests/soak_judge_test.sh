#!/usr/bin/env bash
# Each line of the soak's judge passes on sound records and fails on one with a planted fault (docs/soak.md). No fleet
# is needed: the records are written here.
set -uo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
. "$here/scripts/fleet-checks"
. "$here/scripts/soak-troubles"
. "$here/scripts/soak-judge"
good=0 bad=0 seed_failed=0 passed=0 failed=0 core_count=3 store_count=3 nodes=127.0.0.1:8000,127.0.0.2:8000
binary=ask_node

expect() { # passes|fails NAME COMMAND...
  local wanted=$1 name=$2 seen=passes
  shift 2
  "$@" >/dev/null 2>&1 || seen=fails
  if [ "$seen" = "$wanted" ]; then good=$((good + 1)); else bad=$((bad + 1)) && echo "FAILED $name: $seen"; fi
}
# What a sound run leaves behind.
sound() {
  dir=$(mktemp -d "$root/run.XXXX")
  mkdir "$dir"/{pids,logs,settings,runs}
  echo '{"wire":"127.0.0.1:7000","http":"127.0.0.1:8000"}' >"$dir/settings/node-1"
  echo '{"wire":"127.0.0.2:7999","http":"127.0.0.2:8000"}' >"$dir/settings/node-2"
  echo "$$" >"$dir/pids/node-1"
  echo "1000000 KILL node-2" >"$dir/troubles"
  : >"$dir/cuts"
  echo '{"lotsAccepted":2,"lotsComplete":2,"faults":[]}' >"$dir/caller-main"
  printf 'node 100 200 20\n' >"$dir/processes-before"
  printf 'node 110 210 25\n' >"$dir/processes-after"
  seq 1 30 | sed 's/$/ node 11000/' >"$dir/memory"
  printf 'started live aa\nstarted lookup bb\nstarted lookup bb\nstarted lot cc\nstarted lot cc\n' >"$dir/runs/worker-1"
  printf 'never dd\n' >"$dir/runs/caller-main"
  printf '%s\n' 'change-1-a {"verdict":"taken","config":2}' 'change-1-b {"verdict":"conflict","config":2}' >"$dir/config"
  echo '{"note": "change 1 of a"}' >"$dir/change-1-a"
  echo '{"note": "change 1 of b"}' >"$dir/change-1-b"
  members='"members":[{"standing":"active"},{"standing":"active"},{"standing":"active"}]'
  evacuated='[]' certainty=true lot_state=ended
  echo lot-7 >"$dir/ended"
  answers=(one one)
  told_history='{"history":[{"config":2,"note":"change 1 of a","changes":[]}]}'
}
op() {
  case "$1 ${2:-}" in
    "status ") echo "{\"core\":{$members},\"store\":{$members},\"evacuated\":$evacuated}" ;;
    "lot show") echo "{\"lot\":\"$3\",\"state\":\"$lot_state\"}" ;;
    "config history") echo "$told_history" ;;
    "clock show") echo "{\"certain\":$certainty}" ;;
  esac
}
ask_node() { [ "$1" = --node=127.0.0.1:8000 ] && echo "${answers[0]}" || echo "${answers[1]}"; }
cuts_are_explained() { ! unexplained_cuts; }

sound
for judged in "whole core" "whole store" certain same_configuration callers_saw_no_fault lots_are_complete \
  cuts_are_explained none_ended_alone descriptors_return memory_settles nothing_ran_that_was_refused \
  no_live_request_ran_twice confirmed_changes_stand none_stays_evacuated ended_lots_stand "not_in_troubles OVERTIME"; do
  # shellcheck disable=SC2086
  expect passes "$judged, on a sound run" $judged
done

echo '{"cut":"127.0.0.2:8000","sentUs":900000,"atUs":1100000,"withinAnswer":true}' >"$dir/cuts"
expect passes "a cut by a kill" cuts_are_explained
echo '{"cut":"127.0.0.1:8000","sentUs":900000,"atUs":1100000,"withinAnswer":true}' >"$dir/cuts"
expect fails "a cut answer of a node that was not killed" cuts_are_explained
echo '{"cut":"127.0.0.2:8000","sentUs":5900000,"atUs":6100000,"withinAnswer":true}' >"$dir/cuts"
expect fails "a cut long after the kill" cuts_are_explained
echo '{"malformed":"127.0.0.1:8000","atUs":1100000}' >"$dir/cuts"
expect fails "an answer that is another's" cuts_are_explained
sound
echo '{"lotsAccepted":2,"lotsComplete":1,"faults":[]}' >"$dir/caller-burst-1"
expect fails "a lost lot" lots_are_complete
echo '{"lotsAccepted":1,"lotsComplete":1,"faults":["success that is not the whole right answer: p"]}' >"$dir/caller-burst-1"
expect fails "a wrong answer" callers_saw_no_fault
sound
echo 999999999 >"$dir/pids/node-2"
expect fails "a process that ended by itself" none_ended_alone
sound
echo "invariant: failed" >"$dir/logs/store-1"
expect fails "a broken invariant" none_ended_alone
sound
echo 'node 110 210 400' >"$dir/processes-after"
expect fails "leaked descriptors" descriptors_return
seq 1 30 | awk '{print $1, "store", 10000 + $1 * 3000}' >"$dir/memory"
expect fails "memory that grows and grows" memory_settles
echo "started live dd" >>"$dir/runs/worker-1"
expect fails "a run of what was refused" nothing_ran_that_was_refused
sound
echo "started live aa" >"$dir/runs/worker-2"
expect fails "a live request that ran twice" no_live_request_ran_twice
sound
told_history='{"history":[{"config":1,"note":"first routes","changes":[]}]}'
expect fails "a confirmed change that is gone" confirmed_changes_stand
sound
echo 'change-1-a warning: slow {"verdict":"taken","config":2}' >"$dir/config"
expect passes "a confirmed change that is told behind other words" confirmed_changes_stand
told_history='{"history":[{"config":1,"note":"first routes","changes":[]}]}'
expect fails "one that is told so and is gone" confirmed_changes_stand
echo 'change-1-a {"verdict":"taken","config":2' >"$dir/config"
expect fails "a confirmed answer that is cut off" recorded readable
sound
echo 'change-1-b {"verdict":"taken","config":2}' >>"$dir/config"
expect fails "two changes under one number" confirmed_changes_stand
sound
lot_state=open
expect fails "a lot that goes on after its end" ended_lots_stand
evacuated='["zlin"]'
expect fails "a zone that stays evacuated" none_stays_evacuated
members='"members":[{"standing":"active"},{"standing":"behind"},{"standing":"active"}]'
expect fails "a chain without a member" whole store
certainty=false
expect fails "an uncertain cut" certain
answers=(one other)
expect fails "nodes that differ" same_configuration
for mark in OVERTIME NOT_WHOLE NOT_REPLACED; do
  echo "2000000 $mark store" >>"$dir/troubles"
  expect fails "$mark" not_in_troubles "$mark"
done
echo "2000000 NOT_HEARD_OF store" >>"$dir/troubles"
expect fails "a mark that no check knows" not_in_troubles NOT_HEARD_OF
echo "$good passed, $bad failed"
[ "$bad" -eq 0 ]
