#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: plain Python without packages,
# so this only checks that they compile. The gateways come from the build of
# the deploy file. No network is used.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in common-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2] + "/x.pyc", doraise=True)' \
        "$file" "$out"
done
if [ ! -d ../target/deps ]; then
    echo "target/deps is missing: run deploy/build.sh first" >&2
    exit 1
fi
