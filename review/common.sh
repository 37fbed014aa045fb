# Sourced by the scripts of the cases: starts the stand-in of the platform and
# three entry processes with the command of the deploy file, and sends calls.
# Expects $here, the folder of the case. Settings are those of
# deploy/settings.json.tmpl with the figures of the small deployment.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
record=$here/record.txt
pids=()
: > "$record"

note ()
{
  printf '%s %s\n' "$(date +%T.%3N)" "$*" | tee -a "$record"
}

finish ()
{
  local status=$?
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot_run ()
{
  note "cannot run: $*"
  exit 2
}

# start_platform WORKERS MILLICORES TASK_MS: with $config as configuration.
start_platform ()
{
  printf '%s' "$config" > "$work/config.json"
  build/review/standin "$1" "$2" "$3" 262144 "$work/config.json" \
    > "$work/platform" 2> "$work/platform.err" &
  pids+=($!)
  for _ in $(seq 50); do grep -q '^ports=' "$work/platform" && break; sleep 0.1; done
  grep -q '^ports=' "$work/platform" || cannot_run "the stand-in did not start"
  # shellcheck disable=SC1091
  . "$work/platform"
  # shellcheck disable=SC2206
  free=($ports)
}

# write_settings N: of entry VM N.
write_settings ()
{
  cat > "$work/settings-$1.json" <<END
{ "vm": "edge-north-$1", "domain": "north", "region": "north",
  "callers": "127.0.0.1:${free[$((4 * $1))]}",
  "readiness": "127.0.0.1:${free[$((4 * $1 + 1))]}",
  "peers": "127.0.0.1:${free[$((4 * $1 + 2))]}",
  "metrics": "127.0.0.1:${free[$((4 * $1 + 3))]}",
  "log": "$log", "advisor": "$advisor", "cpu_share": 0.25, "cores": 1,
  "link_mbps": 1000.0, "log_parts": 8, "worker_lease_ms": 10000,
  "worker_heartbeat_ms": 500, "stop_grace_ms": 6000 }
END
}

# start_entry N: its process id goes to entry_pid[N].
start_entry ()
{
  CYCLAMENDRUM_BOOT=$work/settings-$1.json target/cyclamendrum entry \
    >> "$work/entry-$1.log" 2>&1 &
  entry_pid[$1]=$!
  pids+=($!)
  disown
}

ready ()
{
  curl -s -o /dev/null --max-time 1 -f "http://127.0.0.1:${free[$((4 * $1 + 1))]}/-/readyz"
}

start_entries ()
{
  entry_pid=()
  for n in 0 1 2; do write_settings $n; start_entry $n; done
  for _ in $(seq 100); do ready 0 && ready 1 && ready 2 && break; sleep 0.1; done
  ready 0 && ready 1 && ready 2 || cannot_run "the entry processes are not ready"
  for _ in $(seq 100); do leader > /dev/null && break; sleep 0.1; done
  leader > /dev/null || cannot_run "no leader"
  sleep 3
}

# Prints the number of the entry VM that claimed last.
leader ()
{
  local name
  name=$(cat "$work"/entry-*.log | grep -h 'leader=edge-north-' | grep -o 'leader=edge-north-[0-9] epoch=[0-9]*' \
    | sort -t= -k3 -n | tail -1)
  [ -n "$name" ] || return 1
  name=${name#leader=edge-north-}
  echo "${name%% *}"
}

# call VM METHOD PATH [BODY]: prints the status and the body; 000 without an
# answer. WAIT_MS is how long the caller waits.
call ()
{
  local wait_ms=${WAIT_MS:-3000} out
  out=$(curl -s --max-time "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))" \
    -X "$2" -H 'Host: h.example' -H 'Api-Key: key-blue' \
    -H "X-Deadline-Ms: $wait_ms" -H 'Content-Type: application/json' \
    ${4:+--data-binary "$4"} -w ' %{http_code}' \
    "http://127.0.0.1:${free[$((4 * $1))]}$3")
  printf '%s %s' "${out##* }" "${out% *}"
}

runs ()
{
  curl -s --max-time 5 "http://$control/runs"
}

memory_mb=260 # limits.memory_mb
kills=0
kills_of=(0 0 0)
peak=0
# The platform's part: looks at the memory of each process for S seconds.
watch_memory ()
{
  local n kb end
  end=$(($(date +%s%3N) + $(printf "%.0f" "${1}e3")))
  while [ "$(date +%s%3N)" -lt "$end" ]; do
    for n in 0 1 2; do
      kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${entry_pid[$n]}/status" 2>/dev/null)
      [ "${kb:-0}" -gt "$peak" ] && peak=$kb
      if [ "${kb:-0}" -gt $((memory_mb * 1024)) ]; then
        kill -KILL "${entry_pid[$n]}"
        kills=$((kills + 1))
        kills_of[$n]=$((kills_of[n] + 1))
        note "edge-north-$n has $((kb / 1024)) MB, over $memory_mb MB: killed, started again"
        sleep 0.5
        start_entry "$n"
      fi
    done
    sleep 0.1
  done
}

config='{"version":1,"routes":[{"name":"plan","host":"h.example","path_prefix":"/plan/","service":"pool","priority":1,"max_attempts":3,"slack_factor":2,"target_latency_ms":1000}],"services":[{"name":"pool"}],"tenants":[{"name":"blue","api_keys":["key-blue"],"weight":100}]}'
