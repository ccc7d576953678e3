#!/usr/bin/env bash
# Checks the stand-ins of the cases; they are Python and need no build of their own.
# The gateway's libraries come from the build of the deploy file (target/deps).
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'target/deps is missing: run the build of deploy/system.toml first' >&2; exit 1; }
export PYTHONPATH="$PWD:$PWD/target/deps"
for file in review/*.py review/[1-5]/*.py tests/platform_store.py tests/platform_port.py; do
  [ -f "$file" ] && python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
python3 -B -c 'import review.rig'
