#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9. They are Python programs that need only the standard library,
# so this checks that the interpreter runs them. The program under test is the deploy file's build.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 - stand-ins-2/world.py [6-9]/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
