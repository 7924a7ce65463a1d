#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's build: their own stand-ins, which need the standard
# library alone. They use no stand-in of gaphub/lab.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
