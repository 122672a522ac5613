#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They use Python's standard library
# alone, so there is nothing to install or compile.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/world ?/play; do
    python3 - "$source" <<'EOF'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1])
EOF
done
