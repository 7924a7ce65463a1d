"""The binary packets of the Gearman protocol: types, headers and arguments.  Pure functions.

Format, after the published description of the protocol (gearman.org/protocol): a magic of four bytes, type and
size in network byte order, then arguments separated by NUL, the last of which may contain any bytes.
"""

from __future__ import annotations

import struct

(CAN_DO, CANT_DO, RESET_ABILITIES, PRE_SLEEP, _UNUSED, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB,
 JOB_ASSIGN, WORK_STATUS, WORK_COMPLETE, WORK_FAIL, GET_STATUS, ECHO_REQ, ECHO_RES, SUBMIT_JOB_BG, ERROR,
 STATUS_RES, SUBMIT_JOB_HIGH, SET_CLIENT_ID, CAN_DO_TIMEOUT, ALL_YOURS, WORK_EXCEPTION, OPTION_REQ,
 OPTION_RES, WORK_DATA, WORK_WARNING, GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ, SUBMIT_JOB_HIGH_BG, SUBMIT_JOB_LOW,
 SUBMIT_JOB_LOW_BG, SUBMIT_JOB_SCHED, SUBMIT_JOB_EPOCH, SUBMIT_REDUCE_JOB, SUBMIT_REDUCE_JOB_BG,
 GRAB_JOB_ALL, JOB_ASSIGN_ALL, GET_STATUS_UNIQUE, STATUS_RES_UNIQUE) = range(1, 43)

# For each submit packet: the priority (0 is served first) and whether the client waits for the result.
SUBMIT_KINDS = {SUBMIT_JOB_HIGH: (0, True), SUBMIT_JOB: (1, True), SUBMIT_JOB_LOW: (2, True),
                SUBMIT_JOB_HIGH_BG: (0, False), SUBMIT_JOB_BG: (1, False), SUBMIT_JOB_LOW_BG: (2, False),
                SUBMIT_JOB_SCHED: (1, False), SUBMIT_JOB_EPOCH: (1, False),
                SUBMIT_REDUCE_JOB: (1, True), SUBMIT_REDUCE_JOB_BG: (1, False)}
# The number of arguments of each request packet.
ARGUMENT_COUNTS = {
    CAN_DO: 1, CANT_DO: 1, RESET_ABILITIES: 0, PRE_SLEEP: 0, GRAB_JOB: 0, GRAB_JOB_UNIQ: 0, GRAB_JOB_ALL: 0,
    WORK_STATUS: 3, WORK_COMPLETE: 2, WORK_FAIL: 1, GET_STATUS: 1, GET_STATUS_UNIQUE: 1, ECHO_REQ: 1,
    SET_CLIENT_ID: 1, CAN_DO_TIMEOUT: 2, ALL_YOURS: 0, WORK_EXCEPTION: 2, OPTION_REQ: 1, WORK_DATA: 2,
    WORK_WARNING: 2, **dict.fromkeys(SUBMIT_KINDS, 3), SUBMIT_JOB_SCHED: 8, SUBMIT_JOB_EPOCH: 4,
    SUBMIT_REDUCE_JOB: 4, SUBMIT_REDUCE_JOB_BG: 4,
}
# Updates of a running job, and the kinds under which the core forwards them.
WORK_UPDATES = {WORK_STATUS: "status", WORK_DATA: "data", WORK_WARNING: "warning", WORK_EXCEPTION: "exception"}
HEADER = struct.Struct(">4sII")
REQUEST, RESPONSE = b"\0REQ", b"\0RES"


class PacketError(Exception):
    """A packet that is answered with ERROR and otherwise ignored."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


def pack(kind: int, *arguments: bytes, magic: bytes = RESPONSE) -> bytes:
    """Encode a packet."""
    body = b"\0".join(arguments)
    return HEADER.pack(magic, kind, len(body)) + body


def split_arguments(kind: int, data: bytes) -> list[bytes]:
    """The arguments of a request; PacketError if its type is unknown or their number is wrong."""
    expected = ARGUMENT_COUNTS.get(kind)
    if expected is None:
        raise PacketError("unknown_command", f"unknown packet type {kind}")
    arguments = data.split(b"\0", expected - 1) if expected else []
    if len(arguments) != expected or (not expected and data):
        raise PacketError("invalid_packet", f"{len(arguments)} arguments instead of {expected}")
    return arguments
