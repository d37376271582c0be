#!/bin/sh
# The stand-ins are Python programs; there is nothing to build. Checks that they can be read and that
# the program of the deploy file is there.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
EOF
test -x ../target/eelgrassbend-gateway || { echo "build the deploy file first" >&2; exit 1; }
