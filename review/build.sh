#!/bin/sh
# The scripts' stand-ins are in Python, whose standard library is enough: meson,
# which the build of the deploy file needs, brings Python. They need no build, so
# this only checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
for file in lib/rig.py */run.py; do
	python3 - "$file" <<'END' || exit 1
import sys
import tomllib  # Python 3.11, as on Debian 12

with open(sys.argv[1]) as source:
    compile(source.read(), sys.argv[1], "exec")
END
done
