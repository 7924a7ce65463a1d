#!/bin/sh
# Plays a case of this review: play-2.sh N; see N/claim.txt. TROUBLE=0: without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=review .venv/bin/python "review/$1/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
