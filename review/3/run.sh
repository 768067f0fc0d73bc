#!/bin/sh
# Runs the case: status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
../../.venv/bin/python -B case.py &
script=$!
trap 'kill -TERM "$script"' TERM INT
wait "$script"
status=$?
trap - TERM INT
wait "$script" 2>/dev/null # after a signal: until the script has ended its processes
case $status in
    10) exit 0 ;; # the script's own statuses: an error of Python itself, which is 1, must not count as a result
    11) exit 1 ;;
    *) exit 2 ;;
esac
