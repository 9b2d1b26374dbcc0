# Starts an entry and agent-engine pairs for the benches. Source it after
# tools/lib.sh and tools/fleet.sh.

BENCH_KEY=bench-key
BENCH_SLOTS=2048
AGENT_PIDS=()
ENGINE_PIDS=()
ENGINE_ADDRESSES=()

start_bench_pair() {  # INDEX MODEL TOKEN_US
  local name="agent-$1" backend=$((BASE + 100 + $1))
  spawn "$DIR/engine-$1" "$BUILD/testing/standin-engine" \
    --listen "127.0.0.1:$backend" --token-us "$3"
  ENGINE_PIDS+=("${PIDS[-1]}")
  ENGINE_ADDRESSES+=("127.0.0.1:$backend")
  { agent_settings "$name" dc-0 "model:$2" engine $((BASE + 200 + $1)) \
      $((BASE + 300 + $1)) "$backend" "$BASE"
    printf 'limits:\n  slots: %s\n' "$BENCH_SLOTS"; } >"$DIR/$name.yaml"
  spawn "$DIR/$name" "$BUILD/agent/peridotgate-agent" --settings "$DIR/$name.yaml"
  AGENT_PIDS+=("${PIDS[-1]}")
  LIST="$LIST${LIST:+,}{\"instance\":\"$name\",\"role\":\"agent\",\"data_centre\":\"dc-0\",\"address\":\"127.0.0.1:$((BASE + 200 + $1))\",\"target\":\"model:$2\",\"state\":\"live\"}"
}

start_bench_platform() {  # DIR BASE_PORT
  DIR="$1"
  BASE="$2"
  LIST=""
  echo '{"instances":[]}' >"$DIR/instances.json"
  spawn "$DIR/platform" "$BUILD/testing/standin-platform" \
    --listen "127.0.0.1:$BASE" --instances "$DIR/instances.json"
  wait_for "http://127.0.0.1:$BASE/counts"
  PERIDOTGATE_OPERATOR_KEY=operator-demo-key "$BUILD/operate/peridotgate" apply \
    --wait 0 --rules "$ROOT/testing/bench/path_rules.yaml" \
    --table "127.0.0.1:$BASE" --base 0 --author bench >/dev/null
}

start_bench_entry() {
  start_entry 0
  ENTRY_PID="${PIDS[-1]}"
  echo "{\"instances\":[$LIST]}" >"$DIR/instances.json"
  wait_for "http://${OPERATORS[0]}/readyz"
}
