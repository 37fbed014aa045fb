#!/usr/bin/env bash
# A large job comes: one task, then 8,000 small ones. A small job follows it.
# TROUBLE=0: the second step of the large job has 800 tasks.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
start_platform 48 64000 1000
start_entries
tasks=8000
[ "$TROUBLE" = 0 ] && tasks=800

note "job A, 1 task: $(call 0 POST /plan/00000000000000a1 '{"spec":"a","steps":[{"count":1,"cpu":250,"mem_mb":200,"estimate_ms":1000}]}')"
sleep 4
state=$(call 0 GET /plan/00000000000000a1)
note "job A: $state"
case $state in *complete*) ;; *) cannot_run "a small job does not complete" ;; esac
note "job B, 1 and then $tasks tasks: $(call 0 POST /plan/00000000000000b2 "{\"spec\":\"b\",\"steps\":[{\"count\":1,\"cpu\":250,\"mem_mb\":200,\"estimate_ms\":1000},{\"count\":$tasks,\"cpu\":250,\"mem_mb\":200,\"estimate_ms\":1000,\"depends_on\":[0]}]}")"
sleep 3
for _ in 1 2 3 4 5; do
  answer=$(call 1 POST /plan/00000000000000c3 '{"spec":"c","steps":[{"count":1,"cpu":250,"mem_mb":200,"estimate_ms":1000}]}')
  note "job C, 1 task: $answer"
  [ "${answer%% *}" = 200 ] && break
  sleep 1
done
accepted=${answer%% *}
# finish_s after the end of the traffic, and the 3 s for which nothing runs.
sleep 14
begin=$(date +%s%3N)
for _ in 1 2 3 4; do
  sleep 1
  note "B: $(call 0 GET /plan/00000000000000b2), C: $(call 1 GET /plan/00000000000000c3)"
done
note "store: $(curl -s "http://$control/refused")"
# The operator's way out: the leader is stopped, and another one takes over.
old=$(leader)
kill -TERM "${entry_pid[$old]}"
sleep 12
note "after a stop of the leader $old: leader $(leader), B: $(call $(((old + 1) % 3)) GET /plan/00000000000000b2), C: $(call $(((old + 1) % 3)) GET /plan/00000000000000c3)"
note "store: $(curl -s "http://$control/refused")"
runs > "$work/runs"
note "runs: A $(grep -c '^00000000000000a1' "$work/runs"), B $(grep -c '^00000000000000b2' "$work/runs"), C $(grep -c '^00000000000000c3' "$work/runs")"
[ "$accepted" = 200 ] || cannot_run "job C was not accepted"
late=$(awk -v at="$begin" '/^00000000000000c3/ && $4 < at' "$work/runs" | wc -l)
if [ "$late" = 0 ]; then
  note "broken (LOST): job C was accepted and had nothing running for 3 s, 14 s after the last job came, with 48 idle workers"
  exit 1
fi
note "held"
