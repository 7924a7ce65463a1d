"""Directs new connections to one of the processes that listen at the same address (SO_REUSEPORT).

By default the kernel distributes connections by a hash until the moment a listener is closed, and resets those
that the closed listener had not accepted. A process that shuts down therefore has all new connections directed to
its successor first, with a classic BPF program of one instruction for the group of listeners, and can then close
without resets.

Source: socket(7), SO_ATTACH_REUSEPORT_CBPF. Where it is not available, the kernel's default distribution stays.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from contextlib import suppress

SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET_K = 0x06  # return a constant: the index in the group, in the order in which its members began to listen
FIRST, SECOND = 0, 1


def direct_all_to(listener: socket.socket, index: int) -> None:
    """Direct new connections to the process that began to listen first or second, as long as it listens."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET_K, 0, 0, index))
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def restore_default(listener: socket.socket) -> None:
    """Have the kernel distribute new connections among all listeners, as it does by default."""
    with suppress(OSError):  # ENOENT: no program was attached
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
