#!/bin/sh
# Prepares what the scripts of review/4 to review/8 start besides the daemon. Their
# stand-ins are Python programs without dependencies; Python comes with meson.
set -eu
cd "$(dirname "$0")/.."
python3 - review/lib-2/stand.py review/[4-8]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
