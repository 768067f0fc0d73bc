#!/bin/sh
# The stand-ins are Python modules beside this file, which need no build: this only checks that they compile.
# The deploy file's build comes first.
cd "$(dirname "$0")" || exit 1
for file in *.py */*.py; do
    ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
