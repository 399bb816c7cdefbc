#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python programs, run by the
# interpreter that libglib2.0-dev of deploy/system.toml brings along; nothing
# has to be compiled. Fails if the interpreter is missing or can't read them.
set -euo pipefail
cd "$(dirname "$0")"
python=/usr/bin/python3
[ -x "$python" ] || python=python3
for file in rig/rig.py [0-9]*/case.py; do
  "$python" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
