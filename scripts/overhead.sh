#!/usr/bin/env bash
# Measures the overhead of an entry host over direct calls to an engine, on loopback.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
bin=$PWD/bin
base=${OVERHEAD_BASE:-17200}
gap=5ms
verbose=0
work=$(mktemp -d)
pids=()
trap 'stop_all; rm -rf "$work"' EXIT

ready() {
  for i in 0 1 2; do curl -sf "http://127.0.0.1:$((base + 21 + i))/ready" || return 1; done
}

start_deployment
until_ok 15 operator 0 hosts
printf 'name = "any"\n' > "$work/any.toml"
operator 0 profile set --file "$work/any.toml" > /dev/null
operator 0 service set --name match --group oracolo --profile any > /dev/null
until_ok 10 ready
sleep 2
for parallel in 1 10; do
  "$bin/persimbench" overhead --engine "127.0.0.1:$((base + 31))" --callers "http://127.0.0.1:$((base + 1))" \
    --token consorzio-token --engine-pid "$pid_engine_1" --parallel "$parallel" --requests "$((20 * parallel))" \
    --host-pid "$pid_entry_0" --host-pid "$pid_entry_1" --host-pid "$pid_entry_2"
done
