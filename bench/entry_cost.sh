#!/usr/bin/env bash
# Starts one fake engine and one entry instance, runs bench.entry_cost against
# both and stops them. Arguments: the Python interpreter, then options of
# bench.entry_cost.
set -u
python=${1:-.venv/bin/python}
shift
cd "$(dirname "$0")/.."
export PYTHONPATH=src:.
export HIBISCUSSADDLE_OPERATOR_SECRET=bench-operator-secret
export HIBISCUSSADDLE_PEER_SECRET=bench-peer-secret-012345
base=${BENCH_PORT:-24800}
logs=$(mktemp -d)
pids=()
start() {
  local name=$1
  shift
  "$python" -m hibiscussaddle "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}
cleanup() {
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -r "$logs"
}
trap cleanup EXIT
start store standin store --port "$base"
start platform standin platform --port $((base + 1))
start engine standin engine --port $((base + 2)) --id engine-1 \
  --slots 1000 --token_seconds 0 --keep_record 0 \
  --tokens_per_chunk "${BENCH_CHUNK:-4}" \
  --platform_url "http://127.0.0.1:$((base + 1))"
start entry entry --instance entry-1 --zone zone-a \
  --caller_port $((base + 3)) --operator_port $((base + 4)) \
  --peer_port $((base + 5)) --max_concurrent 10000 \
  --store_url "http://127.0.0.1:$base" \
  --platform_url "http://127.0.0.1:$((base + 1))"
"$python" -m bench.entry_cost --base "$base" --pid "${pids[3]}" "$@"
