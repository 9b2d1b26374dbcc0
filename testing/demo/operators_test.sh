#!/usr/bin/env bash
# Runs the operator commands against a fleet, from the survey's answers to the
# burn report, and checks the exit code and message of each error.
source "$(dirname "$0")/../../tools/lib.sh"
source "$ROOT/tools/fleet.sh"
# Ignore what the user's environment sets for another fleet.
unset PERIDOTGATE_OPERATOR_KEY PERIDOTGATE_TABLE PERIDOTGATE_INSTANCES
WORK="$(mktemp -d)"
trap 'stop_fleet; rm -rf "$WORK"' EXIT
ANSWERS="$ROOT/testing/demo/answers"
PERIDOTGATE="$BUILD/operate/peridotgate"

# Prints an unused base port, so that two checkouts can run the test at once.
free_port() {
  local it
  for it in 29400 29800 30200 30600; do
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$it") 2>/dev/null; then
      echo "$it"
      return 0
    fi
  done
  echo "no free base port among 29400, 29800, 30200 and 30600" >&2
  return 1
}
PORT="${PERIDOTGATE_PORT:-$(free_port)}"

fail() {
  echo "FAILED: $*" >&2
  sed 's/^/  /' "$WORK/output" >&2
  exit 1
}

expect() {  # CODE TEXT ARGS...: runs peridotgate; checks exit code and output.
  local code="$1" text="$2" got=0
  shift 2
  "$PERIDOTGATE" "$@" >"$WORK/output" 2>&1 || got=$?
  [ "$got" -eq "$code" ] || fail "exit code $got, expected $code: $*"
  grep -qF -- "$text" "$WORK/output" ||
    fail "output does not contain \"$text\": $*"
}

wait_until() {  # COMMAND...: polls until the command succeeds.
  local n=0
  until "$@"; do
    n=$((n + 1))
    [ "$n" -le 300 ] || fail "still failing after 300 attempts: $*"
    sleep 0.1
  done
}

edit_answers() {  # FROM TO FILE: writes the demo's answers with one edit.
  sed "s/$1/$2/" "$ANSWERS/demo.yaml" >"$3"
}

set_faults() {  # JSON: replaces the faults of the stand-in platform.
  curl -fsS -o "$WORK/output" -d "$1" "http://127.0.0.1:$PORT/faults"
}

all_entries_serve() {  # VERSION: every entry reports this rules version.
  local it
  for it in "${OPERATORS[@]}"; do
    curl -fsS "http://$it/metrics" |
      grep "^peridotgate_rules_version $1\$" >/dev/null || return 1
  done
}

echo "- the prepared answers generate valid rules, identical on every run"
for it in brazos tapetes demo; do
  expect 0 "generated from the answers" survey \
    --answers "$ANSWERS/$it.yaml" --out "$WORK/$it.yaml"
  expect 0 good check --rules "$WORK/$it.yaml"
  cp "$WORK/$it.yaml" "$WORK/again.yaml"
  expect 0 "" survey --answers "$ANSWERS/$it.yaml" --out "$WORK/$it.yaml"
  cmp "$WORK/$it.yaml" "$WORK/again.yaml"
done
cmp "$WORK/demo.yaml" "$ROOT/testing/demo/rules.yaml"

echo "- invalid answers and edited files are rejected without side effects"
edit_answers 'share: 45 %' 'share: 40 %' "$WORK/bad.yaml"
expect 2 "add up to 95 %" check --answers "$WORK/bad.yaml"
sed 's/5 s/9 s/' "$WORK/demo.yaml" >"$WORK/edited.yaml"
expect 2 "was edited" check --rules "$WORK/edited.yaml"
expect 2 "can't be read" check --rules "$WORK/none.yaml" --json
cp "$ANSWERS/demo.yaml" "$WORK/answers.yaml"
expect 2 "is left as it is" survey --answers "$WORK/answers.yaml" \
  --out "$WORK/answers.yaml"
cmp "$WORK/answers.yaml" "$ANSWERS/demo.yaml"
echo "instance: e" >"$WORK/settings.yaml"
expect 2 "listen.callers" check --settings "$WORK/settings.yaml"

echo "- the fleet starts with the first version"
start_fleet "$WORK" "$PORT" "$WORK/demo.yaml"
export PERIDOTGATE_TABLE="127.0.0.1:$PORT"
wait_until all_entries_serve 1
"$BUILD/testing/demo-caller" $(printf -- '--entry %s ' "${ENTRIES[@]}") \
  --brazos-key brazos-demo-key --tapetes-key tapetes-demo-key >"$WORK/output"

echo "- a changed wait for orders is shown by diff and takes effect"
edit_answers 'longest_wait: 5 s' 'longest_wait: 2 s' \
  "$WORK/shorter-answers.yaml"
expect 0 "" survey --answers "$WORK/shorter-answers.yaml" \
  --out "$WORK/shorter.yaml"
expect 0 "brazos: Order placement may now wait 2 s, was 5 s" \
  diff --rules "$WORK/shorter.yaml"
expect 2 "was edited" apply --rules "$WORK/edited.yaml" --base 1 --author ana
expect 5 "an operator's key is needed" \
  apply --rules "$WORK/shorter.yaml" --base 1 --author ana
PERIDOTGATE_OPERATOR_KEY=brazos-demo-key \
  expect 5 "a caller's key does not do" \
  apply --rules "$WORK/shorter.yaml" --base 1 --author ana
export PERIDOTGATE_OPERATOR_KEY=operator-demo-key
expect 0 "in force on all listed instances" \
  apply --rules "$WORK/shorter.yaml" --base 1 --author ana
wait_until all_entries_serve 2
expect 0 "version 2" status
expect 0 "\"instance\":\"agent-11\",\"role\":\"agent\"" status --json

echo "- a change based on an old version is rejected and names the newer one"
expect 3 "version 2 by ana" \
  apply --rules "$WORK/brazos.yaml" --base 1 --author bob
expect 0 "version 2 by ana" history
expect 0 "no change after version 9; version 2 is the newest" \
  history --since 9

echo "- revert publishes the older rules as a new version"
expect 0 "accepted as version 3" revert --to 1 --base 2 --author bob
wait_until all_entries_serve 3
expect 2 "expected a version from 1 to 3" \
  revert --to 9 --base 3 --author bob
expect 0 "the same as version 3" diff --rules "$WORK/demo.yaml"

echo "- while the platform is down, errors say so and the rules stay in force"
set_faults '{"down":true,"lose_answers":false,"delay_us":0}'
expect 4 "check --instances, or --table without it" status
expect 4 "can't be reached" \
  apply --rules "$WORK/shorter.yaml" --base 3 --author ana
all_entries_serve 3 || fail "an entry no longer serves version 3"
set_faults '{"down":false,"lose_answers":false,"delay_us":0}'

echo "- an accepted change whose response was lost is reported as accepted"
set_faults '{"down":false,"lose_answers":true,"delay_us":0}'
expect 0 "accepted as version 4" \
  apply --rules "$WORK/shorter.yaml" --base 3 --author ana
set_faults '{"down":false,"lose_answers":false,"delay_us":0}'
wait_until all_entries_serve 4

echo "- status names a server that is leaving"
sed 's/"live"/"leaving"/' "$WORK/instances.json" >"$WORK/instances.json.new"
mv "$WORK/instances.json.new" "$WORK/instances.json"
expect 0 "agent-0 (agent) is leaving" status

echo "- status shows received share of fair share, lowest first"
"$PERIDOTGATE" status >"$WORK/output"
grep -o 'received [0-9.]* of what it is owed' "$WORK/output" >"$WORK/ratios" ||
  fail "no shares in status"
sort -c -n -k 2 "$WORK/ratios" ||
  fail "shares are not sorted from lowest to highest"

echo "- alerts refer only to metrics that entries and agents export"
for it in "${OPERATORS[@]}" "127.0.0.1:$((PORT + 300))"; do
  curl -fsS "http://$it/metrics"
done >"$WORK/metrics"
RULES="$ROOT/docs/operating/alerts.yaml"
for it in $(grep -o 'peridotgate_[a-z_]*' "$RULES" | sort -u); do
  grep -q "^$it[{ ]" "$WORK/metrics" || fail "metric $it is not exported"
done
for it in $(grep -o 'peridotgate:[a-z_0-9:]*' "$RULES" | sort -u); do
  grep -qF -- "- record: $it" "$RULES" || fail "no recording rule for $it"
done
for it in organisation kind result; do
  grep -q "^peridotgate_entry_objective_calls_total{.*$it=\"" \
    "$WORK/metrics" || fail "objective metric lacks label $it"
done

echo "- the burn report as text, JSON and HTML"
expect 0 "3 of 3 entries answered" report burn
[ "$(wc -L <"$WORK/output")" -le 100 ] ||
  fail "report is wider than 100 columns"
expect 0 '"entries":3' report burn --json
expect 0 "written" report burn --html "$WORK/burn.html"
grep -q '<svg' "$WORK/burn.html"
grep -q 'order-placement' "$WORK/burn.html"

echo "- metrics are compressed for a client that accepts gzip"
curl -fsS -H 'Accept-Encoding: gzip' "http://${OPERATORS[0]}/metrics" |
  gzip -dc | grep '^peridotgate_rules_version' >"$WORK/output" ||
  fail "gzip metrics can't be decompressed"

echo "- a stopped entry is reported as not answering"
kill -TERM "${PIDS[-1]}"
wait_until bash -c \
  "! curl -fsS -o '$WORK/output' 'http://${OPERATORS[2]}/healthz' 2>/dev/null"
expect 0 "entry-2 did not answer" report burn
expect 6 "no answer" status

echo "- no log contains a key"
if grep -l 'demo-key' "$WORK"/*.log "$WORK"/*.out; then
  fail "a log contains a key"
fi
echo "operators: all checks passed"
