#!/usr/bin/env bash
# Builds target/deps: the run-time packages and the compiled service. The
# tree is read-only when it runs, so the byte code is written here.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ requirements.lock -nt $deps/.installed ] ||
  [ deploy/requirements.txt -nt $deps/.installed ]; then
  rm -rf $deps
  python3 -m pip install --quiet --disable-pip-version-check \
    --constraint requirements.lock --target $deps \
    --requirement deploy/requirements.txt
  python3 -m compileall -q $deps
  touch $deps/.installed
fi
# Programs may run from here while another build starts.
if ! diff -rq --exclude=__pycache__ src/hibiscussaddle $deps/hibiscussaddle \
  >/dev/null 2>&1; then
  rm -rf $deps/hibiscussaddle
  cp -r src/hibiscussaddle $deps/
  python3 -m compileall -q $deps/hibiscussaddle
fi
