"""The simulator adapter: frames, records, settings, and the process on standard input and output."""

from __future__ import annotations

import io
import json
import os
import struct
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub import benchlink, wire
from gaphub.config import parse_settings
from gaphub.interface import Effect, ListedWorker
from gaphub.logic import Balancer


def frame(number: int, now: float, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return wire.HEADER.pack(number, wire.HEADER.size + len(body), len(records), now) + body


def event(code: int, *fields: Any) -> bytes:
    layout = wire.EVENTS[code]
    return layout.pack(code, *fields).ljust(wire.EVENT_SIZE, b"\0")


def settings_json(**more: Any) -> bytes:
    base: dict[str, Any] = {
        "balancers": 3,
        "me": 0,
        "zones": ["a"],
        "models": ["m"],
        "tick": 1.0,
        "grades": [{"slo": 200.0, "deadline": 5000.0, "idempotency": "idempotent"}],
        "limits": {"mostTries": 3, "cancel": True},
        "unheardOf": {"x": 1},
    }
    return json.dumps({**base, **more}).encode()


def entries(*workers: int) -> bytes:
    return b"".join(wire.ENTRY.pack(1, 0, 0, 1.0, 0, worker, 0.0) for worker in workers)


def start(number: int, now: float, insts: list[int], text: bytes | None = None, workers: int = 4) -> bytes:
    """A frame that starts instances with a list of workers."""
    text = settings_json() if text is None else text
    listed = entries(*range(1, workers + 1))
    records = []
    for inst in insts:
        records.append(event(wire.ATTACH, inst, 9 + inst, len(listed), len(text)))
    records.append(event(wire.LEDGER, 0, 0, workers))
    records += [event(wire.ENDPOINTS, inst, 2, 1, 0) for inst in insts]
    return frame(number, now, records, listed + text)


def ask(inst: int, job: int) -> bytes:
    return event(wire.ASK, inst, job, 0, 0, 0, 5000.0, 0.0, 1.0, 0.0, 0)


def answer(data: bytes) -> list[tuple[int, list[bytes], bytes]]:
    out = io.BytesIO()
    benchlink.serve(io.BytesIO(data), out)
    return replies(out.getvalue())


def replies(data: bytes) -> list[tuple[int, list[bytes], bytes]]:
    found = []
    while data:
        number, length, count = wire.REPLY.unpack_from(data)
        body = data[wire.REPLY.size : length]
        found.append((number, [body[i * 32 : i * 32 + 32] for i in range(count)], body[count * 32 :]))
        data = data[length:]
    return found


def test_the_documented_empty_batch_and_its_answer() -> None:
    out = io.BytesIO()
    benchlink.serve(io.BytesIO(bytes.fromhex("00000001 00000014 00000000 40c06e2000000000")), out)
    assert out.getvalue() == bytes.fromhex("00000001 0000000c 00000000")


def test_the_documented_events() -> None:
    body = bytes.fromhex(
        "0c 00000003 0004828a5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000"
        "40000000 3fc00000 01 00000000"
        + "09 00000003 000000000000004d"
        + "00" * 43
        + "06 00000005 000e3f770e6f2b19"
        + "00" * 43
    )
    records = wire.Frame(12, 8412.25, 3, body).records()
    assert records[0] == (12, 3, 0x4828A5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240.0, 12.0, 2.0, 1.5, 1)
    assert records[1] == (9, 3, 0x4D)
    assert records[2] == (6, 5, 0xE3F770E6F2B19)
    outcome = bytes.fromhex(
        "03 00000003 0004828a5d3a91c4 0000 03124a07 0001 4032800000000000 01 00000000 04"
        "41680000 40e00000 3ecccccd 3fa00000 0000000000"
    )
    assert wire.Frame(1, 0.0, 1, outcome).records()[0] == (
        3,
        3,
        0x4828A5D3A91C4,
        0,
        0x03124A07,
        1,
        18.5,
        1,
        0,
        4,
        14.5,
        7.0,
        pytest.approx(0.4),
        1.25,
    )


def test_the_documented_list() -> None:
    data = bytes.fromhex(
        "01 00 0000 3f800000 00 03124a07 000000000000000001 00 0000 3fc00000 00 2c9011f2 40b7d40000000000"
    )
    assert wire.parse_entries(data) == [
        ListedWorker(1, 0, 0, 1.0, 0, 0x03124A07, 0.0),
        ListedWorker(1, 0, 0, 1.5, 0, 0x2C9011F2, 6100.0),
    ]


def test_the_documented_actions() -> None:
    host = benchlink.Host()
    writer = benchlink.ActionWriter(3, host)
    writer.send(0x4828A5D3A91C4, 0x03124A07, 80.0)
    writer.set_timer(500.0, 77)
    writer.log("two servers known")
    writer.send_to_peer(-1, b"hi 7")
    assert host.actions == [
        bytes.fromhex("41 00000003 0004828a5d3a91c4 03124a07 4054000000000000" + "00" * 7),
        bytes.fromhex("45 00000003 407f400000000000 000000000000004d" + "00" * 11),
        bytes.fromhex("49 00000003 00000000 00000011" + "00" * 19),
        bytes.fromhex("48 00000003 ffff 00000011 00000004" + "00" * 17),
    ]
    assert bytes(host.tail) == b"two servers knownhi 7"


def test_every_action_record_has_its_size_and_code() -> None:
    host = benchlink.Host()
    writer = benchlink.ActionWriter(1, host)
    writer.refuse(1, 5.0)
    writer.fail(1)
    writer.cancel(1, 2)
    writer.probe(3)
    writer.close_idle(3)
    writer.watch(True)
    writer.fetch()
    writer.fault("x")
    assert [r[0] for r in host.actions] == [66, 67, 68, 70, 71, 75, 76, 74]
    assert {len(r) for r in host.actions} == {wire.ACTION_SIZE}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(code=st.sampled_from(sorted(wire.EVENTS)), data=st.binary(min_size=55, max_size=55))
def test_every_event_record_round_trips(code: int, data: bytes) -> None:
    record = bytes([code]) + data
    layout = wire.EVENTS[code]
    fields = wire.Frame(1, 0.0, 1, record).records()[0]
    assert layout.size <= wire.EVENT_SIZE
    again = layout.unpack(layout.pack(*fields))
    assert repr(again) == repr(fields)  # by repr, as NaN is not equal to itself


def test_a_request_is_sent_and_answered_in_one_frame() -> None:
    got = answer(start(1, 1000.0, [0, 1]) + frame(2, 1001.0, [ask(1, 77)]))
    sends = [r for r in got[1][1] if r[0] == 65]
    assert len(sends) == 1
    assert struct.unpack_from(">IQ", sends[0], 1) == (1, 77)


def test_lists_are_resolved_by_event_order() -> None:
    text, one, two = settings_json(), entries(1), entries(2)
    tail = text + one + two
    records = [
        event(wire.ATTACH, 0, 5, 0, len(text)),
        event(wire.LEDGER, 0, len(text), 1),
        event(wire.ENDPOINTS, 0, 2, 1, 0),
        ask(0, 1),
        event(wire.LEDGER, 0, len(text) + len(one), 1),
        event(wire.ENDPOINTS, 0, 1, 2, 0),
        ask(0, 2),
    ]
    sends = [struct.unpack_from(">IQI", r, 1) for r in answer(frame(1, 5.0, records, tail))[0][1] if r[0] == 65]
    assert sends == [(0, 1, 1), (0, 2, 2)]


def test_kill_and_restart_in_one_batch() -> None:
    text, listed = settings_json(), entries(1, 2)
    again = [
        event(wire.DETACH, 0),
        event(wire.ATTACH, 0, 6, 0, len(text)),
        event(wire.LEDGER, 3, len(text), 2),
        event(wire.ENDPOINTS, 0, 2, 1, 3),
        event(wire.BELL, 0, 1),
        ask(0, 8),
    ]
    got = answer(start(1, 0.0, [0]) + frame(2, 1.0, [ask(0, 7)]) + frame(3, 2.0, again, text + listed))
    assert sum(r[0] == 65 for r in got[2][1]) == 1
    got = answer(start(1, 0.0, [0]) + frame(2, 1.0, [event(wire.DETACH, 0), ask(0, 7)]))
    assert got[1][1] == []


def test_a_failure_of_the_decisions_is_a_fault_that_names_the_event(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("oops")

    monkeypatch.setattr(Balancer, "on_request", broken)
    _, records, tail = answer(start(1, 0.0, [0]) + frame(2, 1.0, [ask(0, 7)]))[1]
    assert [r[0] for r in records] == [74]
    assert tail.startswith(b"ASK: RuntimeError: oops")


def test_impossible_settings_are_a_fault_that_names_the_setting() -> None:
    _, records, tail = answer(start(1, 0.0, [0], settings_json(me=7)))[0]
    assert 74 in [r[0] for r in records]
    assert b"me: 7" in tail


def test_settings_defaults_and_words() -> None:
    s = parse_settings(
        settings_json(
            familyInfo={"classStretch": [1.5], "reportX0": "free slots"},
            report={"fields": ["x0", "queue"], "via": "on_probe"},
            deductions={"crossZone": 0.5},
        )
    )
    assert s.classes[0].effect == Effect.SAFE
    assert s.classes[0].aim_stretch == 1.5
    assert s.report_fields == ("free_slots", "queue")
    assert s.reports_in_probes and not s.reports_in_answers
    assert s.prices == {"cross_zone": 0.5}
    assert s.cold_ms == 20_000.0
    with pytest.raises(ValueError, match="idempotency"):
        parse_settings(settings_json(grades=[{"slo": 1, "deadline": 1, "idempotency": "odd"}]))
    with pytest.raises(ValueError, match=r"grades\[0\].slo"):
        parse_settings(settings_json(grades=[{"deadline": 1}]))


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "gaphub.benchlink"],
        input=data,
        capture_output=True,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": seed},
        timeout=60,
    )


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"\0\0\0\1", b"ends inside a header"),
        (frame(4, 1.0, [ask(0, 1)])[:-9], b"ends inside a frame (batch 4"),
        (frame(5, 1.0, [bytes([99]).ljust(56, b"\0")]), b"unknown event code 99 (batch 5, offset 20)"),
        (wire.HEADER.pack(6, 30, 1, 1.0) + b"\0" * 10, b"too short for 1 records (batch 6"),
        (frame(7, 1.0, [event(wire.LEDGER, 0, 5, 9)]), b"out of range (batch 7"),
    ],
)
def test_a_bad_frame_ends_with_one_plain_line(data: bytes, words: bytes) -> None:
    done = run(data)
    assert done.returncode == 1
    assert words in done.stderr
    assert done.stderr.count(b"\n") == 1


def test_input_that_ends_is_a_clean_end() -> None:
    assert run(b"").returncode == 0
    done = run(frame(1, 1.0, []))
    assert (done.returncode, done.stderr) == (0, b"")


def script(insts: list[int]) -> bytes:
    """A start frame and 58 more, each with a request per instance, and from number 4 on with an outcome each."""
    data = start(1, 0.0, insts, workers=30)
    for n in range(2, 60):
        records = [ask(i, 1000 * n + i) for i in insts]
        if n > 3:
            records += [
                event(wire.OUTCOME, i, 1000 * (n - 2) + i, 0, 1, 1, 40.0 + n, 1, 0, 0, 0, 0, 0, 0)
                for i in insts
            ]
        data += frame(n, 10.0 * n, records)
    return data


def test_same_actions_in_one_process_or_three_under_any_hash_seed() -> None:
    def by_inst(runs: list[bytes]) -> dict[int, list[bytes]]:
        found: dict[int, list[bytes]] = {}
        for out in runs:
            for _, records, _ in replies(out):
                for r in records:
                    found.setdefault(struct.unpack_from(">I", r, 1)[0], []).append(r)
        return found

    together = by_inst([run(script([0, 1, 2]), "1").stdout])
    apart = by_inst([run(script([i]), str(50 + i)).stdout for i in range(3)])
    assert together == apart
    assert len(together[0]) > 50


def test_a_batch_of_megabytes_is_answered() -> None:
    got = answer(start(1, 0.0, [0]) + frame(2, 1.0, [ask(0, i + 1) for i in range(20_000)]))
    assert sum(r[0] in (65, 66) for r in got[1][1]) == 20_000
