#!/bin/sh
# Checks that every module and stand-in of the cases 6 to 10 can be compiled and
# imported with target/deps alone. Nothing else has to be built.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 - <<'PY'
import compileall
import sys

import review.rig2.callers
import review.rig2.site
import tests.platform_replica
import tests.platform_store

sys.exit(not compileall.compile_dir('review', quiet=1))
PY
