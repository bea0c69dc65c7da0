#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library: there is nothing to compile, and
# this only checks that each of them can be read. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python=/usr/bin/python3
[ -x "$python" ] || python=python3
"$python" -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in stand-ins-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  "$python" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
