#!/usr/bin/env bash
# Measures the cost of control traffic for an idle entry instance: starts one
# fleet of real processes on loopback per size and prints one key=value line
# per size. Arguments: the Python interpreter and the sizes.
#
# PORT     first port; 3 * size ports are used (22000)
# SETTLE   seconds before each measurement (20)
# SECONDS_MEASURED  seconds of each measurement (30)
# ZONES    number of zones (4)
# ENGINES  number of fake engines; if not 0, the fleet also has a store, a
#          platform and a weight store, and store calls are counted (0)
set -u
python=${1:-.venv/bin/python}
shift
sizes=${*:-1 8 16 32 64}
cd "$(dirname "$0")/.."
export PYTHONPATH=src
export HIBISCUSSADDLE_OPERATOR_SECRET=bench-operator-secret
export HIBISCUSSADDLE_PEER_SECRET=bench-peer-secret-0123456
port=${PORT:-22000}
pids=()
logs=$(mktemp -d)

stop() {
  [ ${#pids[@]} -gt 0 ] || return 0
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  pids=()
}
trap stop EXIT

start() {
  "$python" -m hibiscussaddle "$@" >"$logs/$1-$2.log" 2>&1 &
  standin_pids+=($!)
}

standin_pids=()
trap 'stop; kill "${standin_pids[@]}" 2>/dev/null' EXIT
flags=()
if [ "${ENGINES:-0}" -gt 0 ]; then
  store=http://127.0.0.1:$((port + 900))
  platform=http://127.0.0.1:$((port + 901))
  start standin store --port $((port + 900))
  start standin platform --port $((port + 901))
  start standin weight_store --port $((port + 902))
  for ((n = 0; n < ENGINES; n++)); do
    start standin engine --port $((port + 910 + n)) --id "engine-$n" \
      --zone "zone-$((n % ${ZONES:-4}))" --platform_url "$platform"
  done
  flags=(--store_url "$store" --platform_url "$platform"
    --weight_store_url "http://127.0.0.1:$((port + 902))")
  export STORE_URL=$store
  body='{"value": {"contract": {"customer": "cereza", "key_hash": "'
  body+=$(printf '0%.0s' {1..64})
  body+='", "models": ["base"]}, "revision": 1}, "expected_revision": 0}'
  export FIRST_CONTRACT=$body
fi

for size in $sizes; do
  seeds="127.0.0.1:$port,127.0.0.1:$((port + 1))"
  for ((n = 0; n < size; n++)); do
    "$python" -m hibiscussaddle entry --instance "entry-$n" \
      --zone "zone-$((n % ${ZONES:-4}))" --peers "$seeds" \
      --peer_port $((port + n)) --operator_port $((port + 300 + n)) \
      --caller_port $((port + 600 + n)) "${flags[@]}" >"$logs/entry-$n.log" 2>&1 &
    pids+=($!)
  done
  "$python" -m bench.control_cost "$((port + 300))" \
    "${SETTLE:-20}" "${SECONDS_MEASURED:-30}" "${pids[@]}"
  stop
done
