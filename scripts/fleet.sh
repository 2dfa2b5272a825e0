# Functions that start and end a small fleet on loopback: the stand-ins, three
# entries and eleven agents. To be sourced. Ends only processes it started.
#
# FLEET_DIR holds settings and logs, FLEET_BASE is the first port, FLEET_BIN is
# the build folder. Processes are kept by name in FLEET_PIDS.
declare -A FLEET_PIDS=()
FLEET_EVER=() # Every process started, those that others replaced included.
FLEET_AGENTS=${FLEET_AGENTS:-11}
FLEET_ENTRIES=${FLEET_ENTRIES:-3}
FLEET_BASE=${FLEET_BASE:-21000}
FLEET_EXTRA_POLICY=${FLEET_EXTRA_POLICY:-}

fleet_port() { echo $((FLEET_BASE + $1)); }
fleet_store() { echo "127.0.0.1:$(fleet_port 0)"; }
fleet_workers_control() { echo "127.0.0.1:$(fleet_port 1)"; }
fleet_entry_http() { echo "127.0.0.1:$(fleet_port $((510 + $1)))"; }
fleet_entry_client() { echo "127.0.0.1:$(fleet_port $((520 + $1)))"; }
fleet_agent_http() { echo "127.0.0.1:$(fleet_port $((400 + $1)))"; }

# Sets the sizes and names of a house.
fleet_house() {
  case "$1" in
    tesfaye) FLEET_MILLI=16000 FLEET_MEMORY=60000 FLEET_LEAN=batch FLEET_PLACE=addis ;;
    kruszwica) FLEET_MILLI=64000 FLEET_MEMORY=250000 FLEET_LEAN=tail FLEET_PLACE=kujawy ;;
    *) echo "no house \"$1\"; there are tesfaye and kruszwica" >&2; return 2 ;;
  esac
}

fleet_data_centre() { echo "$FLEET_PLACE-$((1 + $1 % 3))"; }

fleet_entries_list() {
  local list=""
  for ((j = 0; j < FLEET_ENTRIES; ++j)); do
    list="$list${list:+, }127.0.0.1:$(fleet_port $((500 + j)))"
  done
  echo "$list"
}

fleet_common_settings() { # name role rpc http data_centre
  cat <<EOF
[process]
role = $2
name = $1
address = 127.0.0.1
rpc_port = $3
http_port = $4
data_centre = $5
rack = ${6:-none}
entries = $(fleet_entries_list)
[store]
endpoint = $(fleet_store)
[policy]
lean = $FLEET_LEAN
$FLEET_EXTRA_POLICY
EOF
}

fleet_run() { # name command...
  local name=$1
  shift
  "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
  FLEET_EVER+=("$!")
  disown "$!"
}

fleet_start_store() { fleet_run store "$FLEET_BIN/src/standins/store_standin" --listen "$(fleet_store)"; }

fleet_start_workers() {
  fleet_run workers "$FLEET_BIN/src/standins/worker_standin" --workers "$FLEET_AGENTS" \
    --control-port "$(fleet_port 1)" --worker-port "$(fleet_port 100)" \
    --executor-port "$(fleet_port 200)" --milli-processors "$FLEET_MILLI" \
    --memory-mb "$FLEET_MEMORY" --seed "${FLEET_SEED:-1}" \
    --straggler-share "${FLEET_STRAGGLERS:-0.02}"
}

fleet_start_entry() { # number
  local name="entry-$1"
  {
    fleet_common_settings "$name" entry "$(fleet_port $((500 + $1)))" \
      "$(fleet_port $((510 + $1)))" "$(fleet_data_centre "$1")"
    echo "[entry]"
    echo "client_port = $(fleet_port $((520 + $1)))"
  } >"$FLEET_DIR/$name.ini"
  fleet_run "$name" "$FLEET_BIN/src/chervilkeeld/chervilkeeld" --config "$FLEET_DIR/$name.ini"
}

fleet_start_agent() { # number
  local name="agent-$1"
  {
    fleet_common_settings "$name" agent "$(fleet_port $((300 + $1)))" \
      "$(fleet_port $((400 + $1)))" "$(fleet_data_centre "$1")" "rack-$(($1 / 3))"
    echo "[worker]"
    echo "endpoint = 127.0.0.1:$(fleet_port $((100 + $1)))"
    echo "executor = 127.0.0.1:$(fleet_port $((200 + $1)))"
    echo "[agent]"
    echo "cell = $FLEET_PLACE"
  } >"$FLEET_DIR/$name.ini"
  fleet_run "$name" "$FLEET_BIN/src/chervilkeeld/chervilkeeld" --config "$FLEET_DIR/$name.ini"
}

# Waits until a command succeeds, generously; fails the script otherwise.
fleet_await() { # description command...
  local what=$1
  shift
  for ((j = 0; j < 1200; ++j)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $what" >&2
  return 1
}

fleet_cli() { "$FLEET_BIN/src/chervilkeel/chervilkeel" --entry "$(fleet_entry_http 0)" --entry "$(fleet_entry_http 1)" "$@"; }

fleet_http() { # method IP:PORT path [body]
  local host=${2%:*} port=${2#*:} body=${4:-}
  exec 9<>"/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$2" "${#body}" "$body" >&9
  sed '1,/^\r$/d' <&9
  exec 9>&- 9<&-
}

fleet_usable() { fleet_cli status | grep -c ' usable '; }
fleet_has_usable() { [ "$(fleet_usable)" -ge "$1" ]; }
fleet_alive() { kill -0 "${FLEET_PIDS[$1]}" 2>/dev/null; }
fleet_gone() { ! fleet_alive "$1"; }

fleet_start_all() {
  mkdir -p "$FLEET_DIR"
  fleet_start_store
  fleet_start_workers
  sleep 0.3
  for ((i = 0; i < FLEET_ENTRIES; ++i)); do fleet_start_entry "$i"; done
  for ((i = 0; i < FLEET_AGENTS; ++i)); do fleet_start_agent "$i"; done
}

fleet_kill() { # signal name...
  local signal=$1
  shift
  for name in "$@"; do kill "-$signal" "${FLEET_PIDS[$name]}" 2>/dev/null || true; done
}

# Ends everything that was started, whatever state it is in.
fleet_stop_all() {
  for pid in "${FLEET_EVER[@]}" "${FLEET_PIDS[@]}"; do
    # A number may have passed to a process of somebody else.
    grep -q "^$FLEET_BIN/" "/proc/$pid/cmdline" 2>/dev/null || continue
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  FLEET_PIDS=()
  FLEET_EVER=()
}
