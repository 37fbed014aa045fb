#!/usr/bin/env bash
# The store is slow (240 ms an answer, 60 times as long) for 2 s. A caller
# hands in a job that is due 12 s later, leaves after 100 ms, and cancels the
# job. TROUBLE=0: the store is not slow.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
start_platform 48 64000 1000
start_entries
note "job A, 1 task: $(call 0 POST /plan/00000000000000a1 '{"spec":"a","steps":[{"count":1,"cpu":250,"mem_mb":200,"estimate_ms":1000}]}')"
sleep 4
state=$(call 0 GET /plan/00000000000000a1)
case $state in *complete*) ;; *) cannot_run "a small job does not complete" ;; esac

if [ "$TROUBLE" != 0 ]; then
  curl -s "http://$control/delay?ms=240"
  note "the store takes 240 ms an answer"
  sleep 0.6
fi
vm=$(leader)
body="{\"spec\":\"b\",\"repeat_count\":1,\"interval_ms\":1000,\"start_at_ms\":$(($(date +%s%3N) + 12000)),\"steps\":[{\"count\":1,\"cpu\":250,\"mem_mb\":200,\"estimate_ms\":1000}]}"
note "job B, due in 12 s, the caller leaves after 100 ms: $(WAIT_MS=100 call $(((vm + 1) % 3)) POST /plan/00000000000000b2 "$body")"
acknowledged=0
for n in 1 2 3 4 5 6 7 8; do
  answer=$(call $(((vm + n) % 3)) DELETE /plan/00000000000000b2)
  note "cancel of job B: $answer"
  case ${answer%% *} in 2??|410) acknowledged=$(date +%s%3N); break ;; esac
  sleep 1
done
[ "$acknowledged" != 0 ] || cannot_run "the cancel was not acknowledged"
sleep 1.4
curl -s "http://$control/delay?ms=0"
note "the store is as before"
sleep 16
note "job B: $(call $(((vm + 1) % 3)) GET /plan/00000000000000b2)"
runs > "$work/runs"
late=$(awk -v at="$acknowledged" '/^00000000000000b2/ { print $4 - at }' "$work/runs" | head -1)
if [ -n "$late" ] && [ "$late" -gt 3000 ]; then
  note "broken (UNASKED): a task of job B started $late ms after its cancel was acknowledged"
  exit 1
fi
note "held"
