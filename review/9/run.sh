#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
../../.venv/bin/python -B case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do # a signal has ended the wait: the case ends what it started first
    wait "$child"
    status=$?
    test "$status" -lt 128 || status=2
done
case $status in
0) exit 0 ;;
101) exit 1 ;;
*) exit 2 ;;
esac
