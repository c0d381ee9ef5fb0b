#!/bin/sh
# Builds what the scripts start: the stand-ins are Python without packages,
# so this only checks that they compile.  The gateway is built by the command
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in *.py */*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
