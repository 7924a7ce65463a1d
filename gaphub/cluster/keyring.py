"""The key ring file: several accepted keys, one of which signs; reading, validation and replacement.

A file that other users may read is rejected.  Secrets never appear in logs or error messages.  Rotation without
interruption takes three reloads on all members: add the new key, sign with the new key, remove the old key.
"""

from __future__ import annotations

import os
import secrets
import stat
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..config import ConfigError
from .envelope import Key

SECRET_BYTES = 32
MAX_KEYS = 16
KEY_ID_PATTERN = r"^[0-9a-z]{8}$"


class KeyRingError(ConfigError):
    """A key file that cannot be used; the message names the fault and never contains a secret."""


class KeyEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One key of the file."""

    id: str
    secret: str  # hexadecimal, 32 bytes
    sign: bool = False  # exactly one key signs; all keys are accepted
    made: str = ""


class _KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: list[KeyEntry] = []


class KeyRing:
    """The keys in force; the entries are validated as a whole."""

    def __init__(self, entries: Sequence[KeyEntry]) -> None:
        if not 1 <= len(entries) <= MAX_KEYS:
            raise KeyRingError(f"key: the file must have 1 to {MAX_KEYS} keys")
        self.entries = list(entries)
        self._keys: dict[str, Key] = {}
        for i, entry in enumerate(entries):
            try:
                secret = bytes.fromhex(entry.secret)
            except ValueError:
                raise KeyRingError(f"key[{i}].secret: not hexadecimal") from None
            if len(secret) != SECRET_BYTES:
                raise KeyRingError(f"key[{i}].secret: not {SECRET_BYTES} bytes")
            if len(entry.id) != 8 or not entry.id.isascii() or not entry.id.isalnum():
                raise KeyRingError(f"key[{i}].id: not 8 letters and digits")
            if entry.id in self._keys:
                raise KeyRingError(f"key[{i}].id: {entry.id} is a duplicate")
            self._keys[entry.id] = Key(entry.id, secret)
        signing = [e.id for e in entries if e.sign]
        if len(signing) != 1:
            raise KeyRingError(f"key: {len(signing)} keys sign, must be exactly one")
        self.signing = self._keys[signing[0]]

    def get(self, ident: str) -> Key | None:
        """Return the key with this id, or None."""
        return self._keys.get(ident)


def read(path: str | Path) -> KeyRing:
    """Read and validate a key ring file; raise KeyRingError if it cannot be used."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            if stat.S_IMODE(mode) & 0o077:
                raise KeyRingError(f"{path}: others may read it (mode {stat.S_IMODE(mode):04o}; make it 0600)")
            data = file.read(64 * 1024)
        return KeyRing(msgspec.toml.decode(data, type=_KeyFile).key)
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise KeyRingError(f"{path}: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise KeyRingError(f"{path}: not TOML") from None  # the parser's message could quote a secret


def write(path: str | Path, entries: Sequence[KeyEntry]) -> None:
    """Replace the file atomically, readable by its owner only."""
    KeyRing(entries)
    lines = ["# The cluster's keys.  All are believed; the one that signs is marked.  Keep it from others."]
    for e in entries:
        lines += ["", "[[key]]", f'id = "{e.id}"', f'secret = "{e.secret}"', f"sign = {str(e.sign).lower()}",
                  f'made = "{e.made}"']
    target = Path(path)
    descriptor, name = tempfile.mkstemp(dir=target.parent, prefix=target.name)
    try:
        with os.fdopen(descriptor, "w") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write("\n".join(lines) + "\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(name, target)
    except BaseException:
        os.unlink(name)
        raise


def new_entry(made: str, signs: bool) -> KeyEntry:
    """Create a key from the operating system's random number generator."""
    ident = "".join(secrets.choice("0123456789abcdefghijklmnopqrstuvwxyz") for _ in range(8))
    return KeyEntry(ident, secrets.token_hex(SECRET_BYTES), signs, made)
