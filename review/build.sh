#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are plain JavaScript and Python files, so that nothing has to be compiled.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs evac/*.mjs ./[1-5]/*.mjs; do
    node --check "$file"
done
for file in ./[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
