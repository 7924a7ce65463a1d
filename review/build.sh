#!/bin/sh
# Checks the stand-ins and the cases: they are plain Python of the standard library, run as they are by the interpreter of
# the deploy file's build. Nothing is left behind.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c 'import pathlib; [compile(p.read_bytes(), str(p), "exec") for p in pathlib.Path("review").rglob("*.py")]'
