#!/bin/sh
# Builds what the scripts start besides the build of the deploy file. The stand-ins are Python programs of the standard library only, so
# that there is nothing to compile; this checks that the interpreter has what they need.
cd "$(dirname "$0")" || exit 2
PYTHON=/usr/bin/python3
[ -x "$PYTHON" ] || PYTHON=python3
exec "$PYTHON" -c 'import ast, asyncio, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' standins.py */case.py
