#!/usr/bin/env bash
# 30 periodic jobs come, each of 10 small tasks a minute for a week (10,000
# times). The platform kills processes that exceed memory_mb and starts them
# again, as DEPLOY.md says. TROUBLE=0: only 3 of these jobs come.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
start_platform 48 64000 1000
start_entries
jobs=30
[ "$TROUBLE" = 0 ] && jobs=3

note "job A, 1 task: $(call 0 POST /plan/00000000000000a1 '{"spec":"a","steps":[{"count":1,"cpu":250,"mem_mb":200,"estimate_ms":1000}]}')"
watch_memory 4
state=$(call 0 GET /plan/00000000000000a1)
note "job A: $state"
case $state in *complete*) ;; *) cannot_run "a small job does not complete" ;; esac
accepted=0
for n in $(seq "$jobs"); do
  body="{\"spec\":\"b\",\"repeat_count\":10000,\"start_at_ms\":$(date +%s%3N),\"interval_ms\":60000,\"steps\":[{\"count\":10,\"cpu\":250,\"mem_mb\":200,\"estimate_ms\":1000}]}"
  for try in 0 1 2 3 4; do
    answer=$(call $(((n + try) % 3)) POST "/plan/0000000000000b$(printf %02x "$n")" "$body")
    watch_memory 0.2
    [ "${answer%% *}" = 200 ] && break
    watch_memory 0.5
  done
  [ "${answer%% *}" = 200 ] && accepted=$((accepted + 1))
done
note "$accepted of $jobs periodic jobs were accepted"
for n in 0 1 2 0 1 2; do
  answer=$(call $n POST /plan/00000000000000c3 '{"spec":"c","steps":[{"count":1,"cpu":250,"mem_mb":200,"estimate_ms":1000}]}')
  note "job C, 1 task: $answer"
  watch_memory 1
  [ "${answer%% *}" = 200 ] && break
done
accepted=${answer%% *}
watch_memory 14
for n in 0 1 2 0; do
  watch_memory 4
  note "job C: $(call $n GET /plan/00000000000000c3)"
done
runs > "$work/runs"
note "runs: A $(grep -c '^00000000000000a1' "$work/runs"), periodic jobs $(grep -c '^0000000000000b' "$work/runs"), C $(grep -c '^00000000000000c3' "$work/runs"); processes killed for their memory: $kills; most memory of a process: $((peak / 1024)) MB"
machines=0
for n in 0 1 2; do [ "${kills_of[$n]}" -ge 3 ] && machines=$((machines + 1)); done
if [ "$machines" -ge 2 ]; then
  note "broken (Fault): on $machines machines processes exceeded $memory_mb MB three times or more (${kills_of[*]}) with no disturbance"
  [ "$accepted" = 200 ] && ! grep -q '^00000000000000c3' "$work/runs" \
    && note "broken (LOST): job C was accepted and has not run"
  exit 1
fi
[ "$accepted" = 200 ] || cannot_run "job C was not accepted"
note "held"
