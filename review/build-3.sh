#!/bin/sh
# The scripts of review 3 start no stand-in that has to be compiled: these are Python modules of
# tests/process and of review/lib-3. Checks that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
for path in ["tests/process/kit.py", "tests/process/platform_standin.py", *map(str, sorted(pathlib.Path("review").glob("lib-3/*.py")))]:
    compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
PYTHON
