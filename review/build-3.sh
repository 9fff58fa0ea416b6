#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python programs of the standard library only (review/harness-3), so that nothing is compiled here.
# Checks that they can be read; the nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c '
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in glob.glob("review/harness-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
'
test -x target/currantlug-node || echo "target/currantlug-node is missing: run the build of deploy/system.toml first" >&2
