#!/bin/sh
# Builds the stand-ins that the scripts of this review start: they are plain Python, without
# dependencies, and run in the process of each script, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").glob("lib-3/*.py")) + sorted(pathlib.Path(".").glob("1[1-5]/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
