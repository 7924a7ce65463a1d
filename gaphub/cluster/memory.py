"""The file that persists a voter's term and vote; written and synced before any message that depends on them.

A missing file means that the state was lost.  A damaged file is reported and counts as missing: a voter without
state recovers it from the others, whereas one with wrong state could vote twice in a term.
"""

from __future__ import annotations

import os
import zlib
from pathlib import Path

from .types import PersistentState

_LINE_FORMAT = "gaphub-vote 1 {term} {vote}"


class StateFile:
    """The file of one member; with an empty ``path`` nothing is persisted."""

    def __init__(self, path: str) -> None:
        self.path = Path(path) if path else None
        self.fault = ""

    def read(self) -> PersistentState | None:
        """Return the state written before the restart; None if there is none or the file is damaged."""
        if self.path is None:
            return None
        try:
            text = self.path.read_text("ascii")
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError) as error:
            self.fault = type(error).__name__
            return None
        line, _, checksum = text.rstrip("\n").rpartition(" ")
        fields = line.split(" ")
        if (checksum != f"{zlib.crc32(line.encode()):08x}" or len(fields) != 4
                or fields[:2] != ["gaphub-vote", "1"]):
            self.fault = "damaged"
            return None
        return PersistentState(int(fields[2]), int(fields[3]))

    def write(self, state: PersistentState | None) -> None:
        """Replace the file atomically and durably, or remove it for None; raise OSError if the disk rejects it."""
        if self.path is None:
            return
        if state is None:
            self.path.unlink(missing_ok=True)
            return
        line = _LINE_FORMAT.format(term=state.term, vote=state.voted_for)
        temporary = self.path.with_name(self.path.name + ".new")
        with open(temporary, "w", encoding="ascii") as file:
            file.write(f"{line} {zlib.crc32(line.encode()):08x}\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
