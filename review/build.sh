#!/bin/sh
# The stand-ins of all cases are plain Python without dependencies: this checks
# that they compile. The roles are built by the build line of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
PY
