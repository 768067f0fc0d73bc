#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources, which are compiled once to check them.
# Needs the build of deploy/balancer.toml; uses nothing but the standard library.
set -eu
cd "$(dirname "$0")"
for number in 6 7 8 9 10; do
    if test -d "$number"; then
        ../.venv/bin/python -B -c 'import sys; [compile(open(p).read(), p, "exec") for p in sys.argv[1:]]' \
            "$number/standins.py" "$number/case.py"
    fi
done
