"""The tables of ``gaphub lab requests``: one pass over all schedulers' logs, ordered by the starts of the jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from gaphub.cli import gaphub
from gaphub.lab import request_records, request_tables
from gaphub.lab.request_tables import RequestTables

from .scenario import Harness

WORKERS_STARTED_MS = 1_000_000  # Unix time in ms at which the workers in these log lines started


def served_line(request_id: str, received: int, key: str, worker: str = "w1", class_index: int = 0,
                duration: int = 100, process_started: int = WORKERS_STARTED_MS, started: int = 12,
                kind: int = 0) -> str:
    """The log line of a request that its first call served; the worker reported the start after ``started`` ms."""
    return (f"gaphub: request: id={request_id} at={received} class={class_index} key={key} slots=1 left=5000 "
            f"end=served after={duration} call={worker},ok,1+{duration - 1},"
            f"{received + 1 - process_started},{kind},{started},2")


def command_rows(folder: Path, *more: str) -> list[list[str]]:
    """The output of the command, as rows of cells."""
    result = CliRunner().invoke(gaphub, ["lab", "requests", str(folder), *more])
    assert result.exit_code == 0, result.output
    return [line.split("\t") for line in result.output.splitlines()]


def key_counts(folder: Path, *more: str) -> dict[str, str]:
    """The number of calls of class 0 by key state."""
    lines = command_rows(folder, *more)
    start = lines.index(["class", "key", "calls", "share"])
    return {line[1]: line[2] for line in lines[start + 1:lines.index([""], start)] if line[0] == "0"}


def write_logs(folder: Path, **logs: list[str]) -> None:
    """Write the logs of schedulers, each with one unrelated line."""
    for name, lines in logs.items():
        (folder / f"{name}.log").write_text("\n".join(["odd", *lines, ""]))


def test_a_key_is_met_where_another_scheduler_had_it_run_before(tmp_path: Path) -> None:
    write_logs(tmp_path, n0=[served_line("b", 2_001_000, "7f"), served_line("c", 2_002_000, "7f", worker="w2")],
               n1=[served_line("a", 2_000_000, "7f"), served_line("d", 2_003_000, "80")])
    assert key_counts(tmp_path) == {"met": "1", "new": "3"}


def test_the_order_is_that_of_the_starts_not_of_the_ends(tmp_path: Path) -> None:
    # The long request starts first and is logged last.
    write_logs(tmp_path, n0=[served_line("short", 2_000_500, "7f", duration=100)],
               n1=[served_line("long", 2_000_000, "7f", duration=3_000)])
    lines = command_rows(tmp_path, "--bucket", "1000")
    start = lines.index(["class", "key", "from_ms", "served"])
    assert lines[start + 1:lines.index([""], start)] == [["0", "met", "0", "1"], ["0", "new", "3000", "1"]]


def test_a_restarted_worker_holds_nothing_and_a_clock_that_differs_is_no_restart(tmp_path: Path) -> None:
    write_logs(tmp_path, n0=[served_line("a", 2_000_000, "7f"),
                             served_line("b", 2_010_000, "7f", process_started=2_005_000),
                             served_line("c", 2_011_000, "7f", process_started=2_005_300)])
    assert key_counts(tmp_path) == {"met": "1", "new": "2"}


def test_a_worker_keeps_the_keys_that_it_ran_last(tmp_path: Path) -> None:
    order = ["1", "2", "1", "3", "1", "2"]  # with two keys kept, 3 evicts 2, and 1 stays
    write_logs(tmp_path, n0=[served_line(f"r{i}", 2_000_000 + 1000 * i, key) for i, key in enumerate(order)])
    assert key_counts(tmp_path, "--kept", "2") == {"met": "2", "new": "4"}
    assert key_counts(tmp_path) == {"met": "3", "new": "3"}


def test_what_a_worker_did_not_run_is_no_meeting(tmp_path: Path) -> None:
    not_run = "call=w1,full,0+3,1000,0,-,1 call=w1,cancelled,4+9,1000,0,-,- call=w1,timeout,5+9,1000,0,-,6"
    write_logs(tmp_path, n0=[f"gaphub: request: id=a at=2000000 class=0 key=7f slots=1 left=5000 "
                             f"end=refused:tried after=20 {not_run}", served_line("b", 2_001_000, "7f")])
    assert key_counts(tmp_path) == {"new": "1"}


def test_times_by_class_kind_age_and_key(tmp_path: Path) -> None:
    write_logs(tmp_path, n0=[served_line("a", 2_000_000, "7f", duration=1_000, started=502),
                             *[served_line(f"b{i}", 2_002_000 + 1000 * i, "7f", duration=300) for i in range(99)],
                             served_line("c", 2_500_000, "7f", worker="w2", kind=1, process_started=2_499_000,
                                         class_index=1)])
    lines = command_rows(tmp_path)
    start = next(i for i, line in enumerate(lines) if line[:2] == ["class", "kind"])
    assert lines[start] == ["class", "kind", "worker", "key", "served", "p10", "p50", "p90", "p99",
                         "byte_p50", "byte_p90", "start_p50", "start_p90", "run_p50", "run_p90"]
    assert lines[start + 1:lines.index([""], start)] == [
        ["0", "0", "old", "met", "99", *["300"] * 4, "2", "2", "10", "10", "288", "288"],
        ["0", "0", "old", "new", "1", *["1000"] * 4, "2", "2", "500", "500", "498", "498"],
        ["1", "1", "young", "new", "1", *["100"] * 4, "2", "2", "10", "10", "88", "88"]]


def test_the_logs_are_read_once_and_little_is_held(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_tables, "REORDER_WINDOW_MS", 500.0)
    write_logs(tmp_path, n0=[served_line(f"r{i}", 2_000_000 + 1000 * i, "7f") for i in range(50)])
    held = 0
    read: list[request_records.RequestRecord] = []

    def counted() -> Iterator[request_records.RequestRecord]:
        for record in request_records.read_records(tmp_path):
            read.append(record)
            yield record

    for done, _ in enumerate(request_tables.order_by_start(counted())):
        held = max(held, len(read) - done)
    assert len(read) == 50 and held <= 3


def test_one_request_and_what_another_version_wrote(tmp_path: Path) -> None:
    write_logs(tmp_path, n0=[served_line("a", 2_000_000, "7f")], n1=["1.5 " + served_line("b", 2_000_000, "7f")])
    assert [line[:2] for line in command_rows(tmp_path, "--id", "b")] == [["n1", "1.5"]]
    write_logs(tmp_path, n2=["gaphub: request: id=c class=0 end=served after=9 call=w1,ok,1+8,1000,2"])
    result = CliRunner().invoke(gaphub, ["lab", "requests", str(tmp_path)])
    assert result.exit_code == 1 and "n2.log:2: a call that another version wrote" in result.output


def test_a_schedulers_own_lines_tell_key_kind_and_start(tmp_path: Path) -> None:
    lines: list[str] = []

    async def run() -> None:
        scheduler = Harness(fronts="[log]\nrequests = true\n")
        scheduler.counters.line = lambda name, text: lines.append(f"1.5 gaphub: {name}: {text}\n")
        async with scheduler as harness:
            await harness.play("""
                d expect index=41
                c send job poloha r1 body Cookie:key=7f
                w expect r1
                w send lines r1 started done=one .
                c expect 200
            """)

    asyncio.run(run())
    (tmp_path / "n0.log").write_text("".join(lines))
    (record,) = request_records.read_records(tmp_path)
    call = record.served_by
    assert record.fields["key"] == "7f" and call is not None and call.kind == 0
    # Each of these times is rounded.
    assert 0.0 <= call.first_byte_sent <= call.started <= call.ended_at <= record.answered_after + 2.0
    assert RequestTables(9_000.0).add_all([record]).key_rows()[1:] == [["0", "new", "1", "1.000"]]
