# Functions shared by the scripts that start a deployment on loopback.

# digest TOKEN: prints the SHA-256 digest of a token, as used in the settings.
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# write_settings NAME CENTRE INDEX: writes the settings of one entry host.
write_settings() {
  cat > "$work/$1.toml" <<TOML
name = "$1"
centre = "$2"
peers = ["127.0.0.1:$((base + 11))", "127.0.0.1:$((base + 12))", "127.0.0.1:$((base + 13))"]

[listen]
callers = "127.0.0.1:$((base + 1 + $3))"
peers = "127.0.0.1:$((base + 11 + $3))"
operators = "127.0.0.1:$((base + 21 + $3))"

[platform]
url = "http://127.0.0.1:$base"

[keys]
authority = "$work/keys/ca.pem"
cert = "$work/keys/$1.pem"
key = "$work/keys/$1.key"

[drain]
lag = "1s"
notice = "8s"

[[organisations]]
name = "consorzio"
digest = "$(digest consorzio-token)"

[[organisations]]
name = "apem"
digest = "$(digest apem-token)"

[[operators]]
name = "giulia"
digest = "$(digest giulia-token)"
TOML
}

# start NAME COMMAND...: starts a process in the background and records its process ID
# in pids and in pid_NAME.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# stop_all: kills every process started by start.
stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# until_ok SECONDS COMMAND...: repeats a command until it succeeds.
until_ok() {
  local end=$(( $(date +%s) + $1 ))
  shift
  until "$@" > /dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# list_host ADDRESS GROUP CENTRE: adds an upstream to the host list of the platform.
list_host() {
  curl -sf -X POST "http://127.0.0.1:$base/admin/hosts" -d \
    "{\"name\":\"$2-$1\",\"address\":\"$1\",\"incarnation\":\"1\",\"group\":\"$2\",\"centre\":\"$3\",\"state\":\"live\"}"
}

# start_deployment: starts the stand-ins and three entry hosts in three data centres.
start_deployment() {
  start platform "$bin/persimstand" platform --listen "127.0.0.1:$base"
  for i in 1 2 3; do
    start "engine-$i" "$bin/persimstand" engine --listen "127.0.0.1:$((base + 30 + i))" --gap "${gap:-5ms}"
  done
  for i in 1 2; do
    start "service-$i" "$bin/persimstand" service --listen "127.0.0.1:$((base + 40 + i))"
  done
  until_ok 10 curl -sf "http://127.0.0.1:$base/admin/counts"
  local centres=(catania acireale siracusa)
  for i in 1 2 3; do list_host "127.0.0.1:$((base + 30 + i))" oracolo "${centres[$((i - 1))]}"; done
  for i in 1 2; do list_host "127.0.0.1:$((base + 40 + i))" banco "${centres[$((i - 1))]}"; done
  for i in 0 1 2; do
    "$bin/persimmonport" keys --folder "$work/keys" --host "entry-$i" --address 127.0.0.1
    write_settings "entry-$i" "${centres[$i]}" "$i"
    start "entry-$i" "$bin/persimmonport" serve --settings "$work/entry-$i.toml" --verbose "${verbose:-1}"
  done
}

# operator INDEX ARGUMENTS...: runs persimctl as an operator against one host.
operator() {
  local index=$1
  shift
  "$bin/persimctl" --host "http://127.0.0.1:$((base + 21 + index))" --token giulia-token "$@"
}

# organisation INDEX ARGUMENTS...: runs persimctl as a caller against one host.
organisation() {
  local index=$1
  shift
  "$bin/persimctl" --callers "http://127.0.0.1:$((base + 1 + index))" --token consorzio-token "$@"
}
