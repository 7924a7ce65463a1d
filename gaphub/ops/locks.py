"""Advisory locks on files, which the kernel releases however their process ends."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path


def is_locked(path: Path, remove_if_not: bool = False) -> bool:
    """Whether a live process holds the lock of a file; False if there is no such file.

    ``remove_if_not``: remove the file of a process that has ended.
    """
    try:
        descriptor = os.open(path, os.O_RDWR)
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    else:
        if remove_if_not:
            with suppress(OSError):
                path.unlink()
        return False
    finally:
        os.close(descriptor)
