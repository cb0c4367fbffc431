#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python without packages,
# so this only checks that they compile and that the gateways are built.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/common/*.py review/[0-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
if [ ! -d target/deps/hibiscussaddle ]; then
  echo "run deploy/build.sh first" >&2
  exit 1
fi
