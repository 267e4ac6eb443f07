#!/bin/bash
# The stand-ins of the scripts are Python programs that use the standard library
# only, so nothing is built; this checks that they can run. The project's program
# is built by the command in deploy/system.toml (target/mulberryd).
cd "$(dirname "$0")/.." || exit 1
python3 - <<'CHECK' || { echo "review/build.sh: needs python3 3.9 or newer" >&2; exit 1; }
import ast, glob, sys
assert sys.version_info >= (3, 9)
for path in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(path).read(), path)
CHECK
echo "review: $(python3 --version), nothing to build"
