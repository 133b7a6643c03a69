#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python programs of the standard
# library, so there is nothing to compile: this checks the interpreter and that each file can be read.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or newer is needed")'
for file in standin/*.py [0-9]/*.py ../tests/process/kit.py ../tests/process/platform_standin.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
