#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python 3
# programs of the standard library only, so this checks that they compile.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for program in standin-2/*.py [6-9]/play.py 10/play.py; do
    [ -f "$program" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$program" || exit 1
done
