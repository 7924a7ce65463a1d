#!/bin/sh
# Checks the stand-ins of the cases 6 to 10: they are plain Python of the standard library, run as they are by the
# interpreter of the deploy file's build, and they use no stand-in of gaphub/lab. Nothing is left behind.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c 'import pathlib
for path in ["standins_2.py", *(f"{number}/case.py" for number in range(6, 11))]:
    compile(pathlib.Path("review", path).read_bytes(), path, "exec")'
