#!/bin/sh
# Plays a case: play-2.sh FOLDER, where it writes record.txt. TROUBLE=0: without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. No bytecode is left in the tree.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x .venv/bin/python ]; then
    echo "not run: the deploy file's build is missing" > "$1/record.txt"
    exit 2
fi
PYTHONPATH=review .venv/bin/python -B "$1/case.py" &
child=$!
trap 'kill -TERM $child; wait $child; exit 2' TERM INT HUP
wait $child
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
