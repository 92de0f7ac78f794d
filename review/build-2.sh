#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside target/release/sillpin-box. The stand-ins are Python programs
# that use the standard library alone, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2.py 6/case.py 6/grown.py 7/case.py 8/case.py 10/case.py; do
    python3 - "$file" <<'PY'
import sys
with open(sys.argv[1]) as file:
    compile(file.read(), sys.argv[1], "exec")
PY
done
