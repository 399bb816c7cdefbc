#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python
# programs without dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -m py_compile review/rig-2/*.py review/[4-8]/*.py
rm -rf review/rig-2/__pycache__ review/[4-8]/__pycache__
