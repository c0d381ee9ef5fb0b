#!/bin/sh
# The scripts of the cases 6 to 10 start target/agated/agated, which the build
# of deploy/system.toml makes, and stand-ins in Python (standins_2.py), which
# need no build.  This checks that both are there.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/standins_2.py review/*/case.py || exit 2
rm -rf review/__pycache__ review/*/__pycache__
test -x target/agated/agated || {
    echo "target/agated/agated is missing: run the build of deploy/system.toml"
    exit 2
}
