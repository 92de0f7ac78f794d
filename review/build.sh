#!/bin/bash
# Checks the stand-ins of the scripts, which are plain Python 3 without packages: there is nothing to compile.
# `target/release/sillpin-box` is built by the deploy file.
cd "$(dirname "$0")" || exit 1
for file in lib/world.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
