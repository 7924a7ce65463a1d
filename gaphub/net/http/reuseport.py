"""Which of the processes that listen at one address (SO_REUSEPORT) the kernel gives new connections to.

Without a word the kernel shares connections out by a hash, up to the moment at which a listener is closed, and
resets those that the closed one had not accepted.  A process that leaves has all new ones given to its successor
first, by a classic BPF program of one instruction for the group of listeners, and then closes in peace.

Source: socket(7), SO_ATTACH_REUSEPORT_CBPF; where it is not to be had, connections are shared out as before.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from contextlib import suppress

SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET_K = 0x06  # return a constant: the place in the group, in the order in which its members began to listen
FIRST, SECOND = 0, 1


def give_all_to(listener: socket.socket, place: int) -> None:
    """Have new connections go to the process that began to listen first or second, as long as it is there."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET_K, 0, 0, place))
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def share_out(listener: socket.socket) -> None:
    """Have new connections shared out among all that listen, as they are without a word."""
    with suppress(OSError):  # ENOENT: there was no program
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
