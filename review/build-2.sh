#!/bin/sh
# Checks that every module and stand-in of the cases 6 to 10 can be compiled and
# imported with target/deps alone. Nothing else has to be built.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 - <<'PY'
from pathlib import Path

import review.callers_2
import review.site_2
import tests.platform_replica
import tests.platform_store

for path in (*Path('review').glob('*_2.py'), *Path('review').glob('*/case.py')):
    compile(path.read_text(), str(path), 'exec')
PY
