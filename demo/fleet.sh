# Functions to run a small fleet on loopback, for the demo and for
# tests/processes: stand-ins for the platform, three engines and two plain
# services, and three hosts in two data centres. Source it with these set:
#
#   build   folder with the programs
#   dir     folder for settings and logs; its contents are deleted
#   base    first port; the fleet uses the 500 ports from there

rm -rf "$dir"
mkdir -p "$dir"

HOSTS=(north-1 north-2 south-1)
readonly STORE=127.0.0.1:$((base + 1))
readonly PLATFORM=127.0.0.1:$((base + 2))
readonly MODEL=easy-read-7b
pids=()

say() { printf '\n== %s\n' "$*"; }

fail() {
  printf '%s: %s\n' "$(basename "$0")" "$*" >&2
  for log in "$dir"/*.log; do
    printf -- '--- %s\n' "$(basename "$log")" >&2
    tail -n 15 "$log" >&2
  done
  exit 1
}

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() {  # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids+=($!)
  printf '%s' $! >"$dir/$name.pid"
}

wait_for() {  # WHAT COMMAND...: retries for about 20 seconds
  local what=$1
  shift
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "timed out waiting for $what"
}

host_ports() {  # HOST -> caller, admin and peer port
  case $1 in
    north-1) echo $((base + 201)) $((base + 301)) $((base + 401)) ;;
    north-2) echo $((base + 202)) $((base + 302)) $((base + 402)) ;;
    south-1) echo $((base + 203)) $((base + 303)) $((base + 403)) ;;
  esac
}

write_settings() {  # HOST
  read -r caller admin peer < <(host_ports "$1")
  cat >"$dir/$1.ini" <<INI
[host]
id = $1
data_centre = ${1%-*}
drain_notice = 500ms

[gateway]
listen = 127.0.0.1:$caller

[admin]
listen = 127.0.0.1:$admin
token_file = $dir/admin-token

[peers]
listen = 127.0.0.1:$peer
secret_file = $dir/fleet-secret

[platform]
store_addresses = $STORE
address = $PLATFORM
INI
}

ctl() {
  "$build/hickoryctl" --config "$dir/hickoryctl.ini" "$@"
}

# Writes the settings of all hosts and starts the stand-ins.
start_stand_ins() {
  head -c 24 /dev/urandom | base64 >"$dir/fleet-secret"
  head -c 24 /dev/urandom | base64 >"$dir/admin-token"

  hosts_setting=""
  host_list=""
  for host in "${HOSTS[@]}"; do
    write_settings "$host"
    read -r _ admin peer < <(host_ports "$host")
    hosts_setting+="127.0.0.1:$admin;"
    host_list+="$host,${host%-*},127.0.0.1:$peer;"
  done

  say "Starting the stand-ins"
  start platform "$build/fakes" platform --listen $PLATFORM --hosts "${host_list%;}"
  start kv "$build/fakes" kv --listen $STORE
  for port in $((base + 101)) $((base + 102)) $((base + 103)); do
    start "engine-$port" "$build/fakes" engine --listen 127.0.0.1:$port
  done
  for port in $((base + 111)) $((base + 112)); do
    start "plain-$port" "$build/fakes" plain --listen 127.0.0.1:$port
  done

  cat >"$dir/hickoryctl.ini" <<INI
[store]
addresses = $STORE

[admin]
addresses = ${hosts_setting%;}
token_file = $dir/admin-token
INI
  # The demo's files use ports from 17000.
  sed "s/127.0.0.1:17/127.0.0.1:$((base / 1000))/" "$here/base.ini" >"$dir/base.ini"
}

start_host() {  # HOST
  start "$1" "$build/hickorystandd" --config "$dir/$1.ini"
  wait_for "$1" curl -sf "$(url "$1")/healthz"
}

start_hosts() {
  say "Starting three hosts"
  local host
  for host in "${HOSTS[@]}"; do
    "$build/hickorystandd" --config "$dir/$host.ini" --check || fail "invalid settings of $host"
    start_host "$host"
  done
}

# Applies the demo's configuration and creates a client key, in the variable
# `key`.
configure() {
  say "Applying the configuration"
  ctl apply "$dir/base.ini" "$here/south.ini" || fail "the configuration could not be applied"
  key=$(ctl key add schools --json | sed -n 's/.*"key" *: *"\([^"]*\)".*/\1/p')
  [ -n "$key" ] || fail "no client key was created"
  local host
  for host in "${HOSTS[@]}"; do
    wait_for "$host with endpoints" curl -sf "$(url "$host")/readyz"
    wait_for "the key at $host" models "$host"
  done
}

url() {  # HOST
  read -r caller _ < <(host_ports "$1")
  echo "http://127.0.0.1:$caller"
}

models() {  # HOST
  curl -sf "$(url "$1")/v1/models" -H "Authorization: Bearer $key"
}

# Files a petition, prints the HTTP status and saves the answer in
# $dir/filing.txt.
file_petition() {  # HOST IDEMPOTENCY-KEY
  curl -s -m 20 -o "$dir/filing.txt" -w '%{http_code}' \
    "$(url "$1")/services/petitions/petitions" -X POST \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -H "Idempotency-Key: $2" -d '{"claim":"deposit"}'
}

# Requests a streamed completion of eight tokens.
complete() {  # HOST
  curl -sfN -m 20 "$(url "$1")/v1/chat/completions" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$MODEL\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Say it simply.\"}]}"
}

pid_of() {  # NAME
  cat "$dir/$1.pid"
}

stop_hosts() {
  say "Stopping the hosts gracefully"
  for host in "${HOSTS[@]}"; do
    kill -TERM "$(pid_of "$host")"
  done
  for host in "${HOSTS[@]}"; do
    wait "$(pid_of "$host")" || fail "$host did not exit with status 0"
    echo "$host stopped"
  done
}
