#!/bin/bash
# Builds the stand-ins of the review's scripts. They are Python programs that need only the standard library, so that only their
# syntax is checked here.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import ast, glob
for path in glob.glob("standin/*.py") + glob.glob("[0-9]/run.py"):
    ast.parse(open(path).read(), path)
END
