#!/bin/sh
# The stand-ins are Python with the standard library only: there is nothing to compile, only to check.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import ast
import pathlib

for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
