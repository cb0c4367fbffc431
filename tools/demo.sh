#!/usr/bin/env bash
# Starts stand-ins in three zones and four entry instances, runs the demo
# client against them and stops every process. The optional argument is the
# Python interpreter.
set -u
python=${1:-.venv/bin/python}
cd "$(dirname "$0")/.."
export PYTHONPATH=src
logs=$(mktemp -d)
pids=()

start() {
  local name=$1
  shift
  # Not in a subshell: $! must be the process id of the program itself.
  "$python" -m hibiscussaddle "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}
cleanup() {
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
}
trap cleanup EXIT

base=${DEMO_PORT:-21000}
store=http://127.0.0.1:$base
platform=http://127.0.0.1:$((base + 1))
weights=http://127.0.0.1:$((base + 2))
scorer=http://127.0.0.1:$((base + 3))
start store standin store --port "$base"
start platform standin platform --port $((base + 1))
start weights standin weight_store --port $((base + 2))
start scorer standin scorer --port $((base + 3))

port=$((base + 10))
for zone in gt-antigua gt-chimal gt-capital; do
  for number in 1 2; do
    start "engine-$zone-$number" standin engine --port "$port" \
      --id "engine-$zone-$number" --zone "$zone" --platform_url "$platform"
    port=$((port + 1))
  done
  start "booking-$zone" standin service --port "$port" \
    --id "booking-$zone" --service booking --zone "$zone" \
    --platform_url "$platform"
  port=$((port + 1))
done

export HIBISCUSSADDLE_OPERATOR_SECRET=demo-operator-secret
export HIBISCUSSADDLE_PEER_SECRET=demo-peer-secret-0123456
peers=""
for number in 1 2 3 4; do
  peers+=",127.0.0.1:$((base + 100 + number * 10 + 2))"
done
zones=(gt-antigua gt-chimal gt-capital gt-antigua)
for number in 1 2 3 4; do
  caller_port=$((base + 100 + number * 10))
  start "entry-$number" entry --instance "entry-$number" \
    --zone "${zones[$((number - 1))]}" --caller_port "$caller_port" \
    --operator_port $((caller_port + 1)) --peer_port $((caller_port + 2)) \
    --peers "${peers#,}" --store_url "$store" --platform_url "$platform" \
    --weight_store_url "$weights" --scorer_url "$scorer"
done
echo "demo: ${#pids[@]} processes, logs in $logs"
echo "demo: entry instances have process ids ${pids[*]: -4}"
timeout 50 "$python" tools/demo_client.py "$base"
status=$?
[ "$status" = 0 ] && echo "demo: passed" || echo "demo: failed ($status)"
exit "$status"
