# Starts a fleet on loopback: stand-ins, agents and entries. Sourced, not run.
# start_fleet DIR BASE_PORT RULES fills ENTRIES, OPERATORS and PIDS; stop_fleet
# stops the processes.

PIDS=()
ENTRIES=()
OPERATORS=()
ENGINES=9
SERVICES=3

spawn() {  # LOG PROGRAM ARGS...
  local log="$1"
  shift
  "$@" >"$log.out" 2>"$log.log" &
  PIDS+=($!)
}

stop_fleet() {
  local it
  for it in "${PIDS[@]}"; do
    kill -TERM "$it" 2>/dev/null || true
  done
  for it in "${PIDS[@]}"; do
    wait "$it" 2>/dev/null || true
  done
}

agent_settings() {  # NAME DC TARGET KIND PEERS OPERATORS BACKEND PLATFORM
  cat <<Y
instance: $1
data_centre: $2
target: "$3"
kind: $4
listen:
  peers: 127.0.0.1:$5
  operators: 127.0.0.1:$6
backend_server: 127.0.0.1:$7
platform:
  table: 127.0.0.1:$8
  objects: [127.0.0.1:$8]
  instances: 127.0.0.1:$8
Y
}

entry_settings() {  # NAME DC CALLERS OPERATORS PEERS PLATFORM
  cat <<Y
instance: $1
data_centre: $2
listen:
  callers: 127.0.0.1:$3
  operators: 127.0.0.1:$4
  peers: 127.0.0.1:$5
platform:
  table: 127.0.0.1:$6
  instances: 127.0.0.1:$6
Y
}

wait_for() {  # URL: polls until it returns a success status.
  local n=0
  until curl -fsS -o /dev/null "$1" 2>/dev/null; do
    n=$((n + 1))
    if [ "$n" -gt 300 ]; then
      echo "no answer from $1" >&2
      return 1
    fi
    sleep 0.1
  done
}

start_agent() {  # INDEX TARGET KIND
  local name="agent-$1" dc="dc-$(($1 % 3))"
  agent_settings "$name" "$dc" "$2" "$3" $((BASE + 200 + $1)) \
    $((BASE + 300 + $1)) $((BASE + 100 + $1)) "$BASE" >"$DIR/$name.yaml"
  spawn "$DIR/$name" "$BUILD/agent/peridotgate-agent" --settings "$DIR/$name.yaml"
  LIST="$LIST${LIST:+,}{\"instance\":\"$name\",\"role\":\"agent\",\"data_centre\":\"$dc\",\"address\":\"127.0.0.1:$((BASE + 200 + $1))\",\"target\":\"$2\",\"state\":\"live\",\"operators\":\"127.0.0.1:$((BASE + 300 + $1))\"}"
}

start_entry() {  # INDEX
  local name="entry-$1" dc="dc-$1"
  entry_settings "$name" "$dc" $((BASE + 10 + $1)) $((BASE + 20 + $1)) \
    $((BASE + 30 + $1)) "$BASE" >"$DIR/$name.yaml"
  spawn "$DIR/$name" "$BUILD/operate/peridotgate" serve --settings "$DIR/$name.yaml"
  ENTRIES+=("127.0.0.1:$((BASE + 10 + $1))")
  OPERATORS+=("127.0.0.1:$((BASE + 20 + $1))")
  LIST="$LIST,{\"instance\":\"$name\",\"role\":\"entry\",\"data_centre\":\"$dc\",\"address\":\"127.0.0.1:$((BASE + 30 + $1))\",\"target\":\"\",\"state\":\"live\",\"operators\":\"127.0.0.1:$((BASE + 20 + $1))\"}"
}

start_fleet() {  # DIR BASE_PORT RULES
  DIR="$1"
  BASE="$2"
  LIST=""
  local i
  echo '{"instances":[]}' >"$DIR/instances.json"
  spawn "$DIR/platform" "$BUILD/testing/standin-platform" \
    --listen "127.0.0.1:$BASE" --instances "$DIR/instances.json"
  wait_for "http://127.0.0.1:$BASE/counts"
  PERIDOTGATE_OPERATOR_KEY="${PERIDOTGATE_OPERATOR_KEY:-operator-demo-key}" \
    "$BUILD/operate/peridotgate" apply --rules "$3" \
    --table "127.0.0.1:$BASE" --base 0 --author demo >"$DIR/apply.log"
  for ((i = 0; i < ENGINES; i++)); do
    spawn "$DIR/engine-$i" "$BUILD/testing/standin-engine" \
      --listen "127.0.0.1:$((BASE + 100 + i))"
    start_agent "$i" "model:horn-1" engine
  done
  for ((i = ENGINES; i < ENGINES + SERVICES; i++)); do
    spawn "$DIR/service-$i" "$BUILD/testing/standin-service" \
      --listen "127.0.0.1:$((BASE + 100 + i))"
    start_agent "$i" "service:desk" service
  done
  for ((i = 0; i < 3; i++)); do
    start_entry "$i"
  done
  echo "{\"instances\":[$LIST]}" >"$DIR/instances.json.new"
  mv "$DIR/instances.json.new" "$DIR/instances.json"
  for i in "${OPERATORS[@]}"; do
    wait_for "http://$i/readyz"
  done
}
