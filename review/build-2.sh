#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are Python modules (tests/process/ and review/lib-2/) and need no
# build; this checks that the interpreter can load them. The programs under test come from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python 3.11 or newer is needed")
for path in [*pathlib.Path("review/lib-2").glob("*.py"), *(pathlib.Path(f"review/{number}/run.py") for number in range(6, 11)),
             pathlib.Path("tests/process/platform_standin.py"), pathlib.Path("tests/process/kit.py")]:
    if path.exists():
        ast.parse(path.read_text(), str(path))
PYTHON
test -x target/lovageraild || { echo "build the deploy file first" >&2; exit 1; }
