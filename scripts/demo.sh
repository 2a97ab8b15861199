#!/usr/bin/env bash
# Starts a deployment on loopback, sends requests through it and takes parts of it down.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
bin=$PWD/bin
base=${DEMO_BASE:-17000}
gap=20ms
work=$(mktemp -d)
pids=()
ok=0
failed=0
trap 'stop_all; rm -rf "$work"' EXIT

# step NAME COMMAND...: runs COMMAND, prints its result and counts it.
step() {
  local name=$1
  shift
  local begin=$(date +%s%N)
  if "$@" > "$work/step.out" 2>&1; then
    ok=$((ok + 1))
    echo "ok      $name ($(( ($(date +%s%N) - begin) / 1000000 )) ms): $(tail -1 "$work/step.out" | cut -c1-120)"
    return
  fi
  failed=$((failed + 1))
  echo "FAILED  $name: $(tail -3 "$work/step.out" | tr '\n' ' ')"
}

hosts_know_each_other() {
  for i in 0 1 2; do [ "$(operator "$i" hosts | grep -c live)" = 3 ] || return 1; done
}

ready() {
  for i in 0 1 2; do curl -sf "http://127.0.0.1:$((base + 21 + i))/ready" || return 1; done
}

profiles() {
  printf 'name = "paziente"\nclass = "long"\npatience = "5m"\ncost = 4\nwait = 1\n' > "$work/paziente.toml"
  printf 'name = "svelto"\nclass = "short"\npatience = "10s"\ncost = 1\nwait = 4\n' > "$work/svelto.toml"
  operator 0 profile set --file "$work/paziente.toml" &&
    operator 1 profile set --file "$work/svelto.toml" &&
    operator 2 service set --name match --group oracolo --profile paziente &&
    operator 0 service set --name stock --group banco --profile svelto --once reserve --once cancel
}

other_hosts() {
  for i in 0 1 2; do [ "$i" = "$1" ] || printf -- '--other http://127.0.0.1:%d ' $((base + 1 + i)); done
}

generate() { # HOST PROMPT
  # shellcheck disable=SC2046
  organisation "$1" generate --service match --prompt "$2" $(other_hosts "$1")
}

model_request() { generate 0 "match the prism len=30"; }

stock_question() { organisation 1 call --service stock --method stock --body prism; }

order() {
  key=$("$bin/persimctl" key)
  organisation 0 call --service stock --method reserve --body arm-7 --key "$key" | grep 'duplicate=false'
}

duplicate_order() {
  organisation 2 call --service stock --method reserve --body arm-7 --key "$key" | grep 'duplicate=true' || return 1
  runs=0
  for i in 1 2; do
    runs=$((runs + $(curl -sf "http://127.0.0.1:$((base + 40 + i))/runs" | grep -o '"method":"reserve"' | wc -l)))
  done
  echo "the service ran it $runs time(s)"
  [ "$runs" = 1 ]
}

change_profile() {
  operator 1 profile edit --name paziente 'patience="4m"' || return 1
  for i in 0 1 2; do
    operator "$i" profile get --name paziente | grep -q "patience = '4m0s'" || return 1
  done
  echo "in force on every host"
}

drain_during_stream() {
  generate 0 "match every drop len=250" > "$work/drain.out" 2>&1 &
  local reader=$!
  sleep 1
  operator 0 drain || return 1
  wait "$reader" || { cat "$work/drain.out"; return 1; }
  tail -1 "$work/drain.out"
  until_ok 10 not_running "$pid_entry_0"
}

not_running() { ! kill -0 "$1"; }

reclaim_during_stream() {
  generate 1 "match after reclaim len=200" > "$work/reclaim.out" 2>&1 &
  local reader=$!
  sleep 1
  local used
  used=$(operator 1 upstreams | awk '$3 == "oracolo" && $7 > 0 {print $1; exit}')
  [ -n "$used" ] || used=$(operator 2 upstreams | awk '$3 == "oracolo" && $7 > 0 {print $1; exit}')
  [ -n "$used" ] || { echo "no engine is in use"; return 1; }
  curl -sf -X POST "http://127.0.0.1:$base/admin/reclaim" -d "{\"address\":\"$used\",\"remaining_ns\":3000000000}" || return 1
  sleep 3
  curl -s -X POST "http://$used/fault" -d '{"die":true}' > /dev/null
  wait "$reader" || { cat "$work/reclaim.out"; return 1; }
  echo "engine $used reclaimed: $(tail -1 "$work/reclaim.out")"
  grep -q 'whole=true' "$work/reclaim.out"
}

# entry_on_platform: starts two upstreams and an entry host that reads its configuration
# from the platform.
entry_on_platform() {
  local store=127.0.0.1:$base
  for i in 1 2; do
    start "upstream-$i" "$bin/persimstand" upstream --platform "$store" --listen "127.0.0.1:$((base + 50 + i))" --id "up-$i"
  done
  "$bin/persimstand" configure --platform "$store" --key demo-key || return 1
  "$bin/persimstand" settings --platform "$store" --name platform-entry --ip 127.0.0.1 --port $((base + 60)) > "$work/platform.json" || return 1
  "$bin/persimmonport" check --platform "$work/platform.json" || return 1
  start platform-entry "$bin/persimmonport" entry --settings "$work/platform.json"
  until_ok 10 curl -sf "http://127.0.0.1:$((base + 61))/ready"
}

plain() { # PATH ARGUMENTS...
  local path=$1
  shift
  curl -sf -H 'Host: demo.example' -H 'X-Api-Key: demo-key' -H "X-Request-Id: demo-$RANDOM" "$@" "http://127.0.0.1:$((base + 60))$path"
}

plain_requests() {
  plain /read/prism | grep -q '^/read/prism ' || return 1
  plain /order/arm-7 -d 'one arm' | grep -q '^/order/arm-7 ' || return 1
  [ "$(plain /stream/drop -d '' | grep -c '^data:')" = 12 ] || return 1
  [ "$(plain /other/ -o /dev/null -w '%{http_code}')" = 404 ] || return 1
  echo "a read, an order and a stream of 12 events"
}

start_deployment
step "three entry hosts in three data centres know each other" until_ok 15 hosts_know_each_other
step "profiles and services are stored" profiles
step "every host is ready" until_ok 10 ready
step "a model request is answered whole" model_request
step "a stock question is answered" stock_question
step "an order runs" order
step "a duplicate of the order at another host runs nothing" duplicate_order
step "a profile change is in force on every host" change_profile
step "an entry host is drained during a stream" drain_during_stream
step "an engine is reclaimed during a stream" reclaim_during_stream
step "an entry host on the platform is ready" entry_on_platform
step "plain HTTP requests are answered through it" plain_requests
if [ "$failed" -gt 0 ] && [ -n "${DEMO_LOGS:-}" ]; then tail -n 30 "$work"/*.log; fi
echo "demo: $ok ok, $failed failed"
[ "$failed" = 0 ]
