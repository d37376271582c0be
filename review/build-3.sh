#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are Python scripts (review/lib3): nothing is compiled.
# Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib3/standins.py 1[1-5]/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    try:
        ast.parse(open(path, encoding="utf-8").read(), path)
    except FileNotFoundError:
        sys.exit(f"{path} is missing")
CHECK
