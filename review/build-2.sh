#!/bin/sh
# Builds the stand-ins of review/4 to review/8. They are plain Python 3.11 (review/standins-2), so that a check of their syntax is all.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the cases need Python 3.11 or later")
for path in ["review/standins-2/fleet.py"] + sorted(glob.glob("review/[4-8]/case.py")):
    with open(path) as source:
        ast.parse(source.read(), path)
PYTHON
