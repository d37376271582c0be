#!/usr/bin/env bash
# The stand-ins of cases 6, 8, 9 and 10 are Python programs without dependencies: nothing is compiled. This
# checks that they can be read, and that the build of the deploy file has left its program.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - review/lib2/*.py review/6/case.py review/8/case.py review/9/case.py review/10/case.py <<'PYTHON'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
PYTHON
test -x target/eelgrassbend-gateway || {
  echo "the build of deploy/system.toml has to run first" >&2
  exit 1
}
