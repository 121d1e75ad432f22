"""The timeline of a job is merged from logs of VMs whose clocks differ."""

import io
import json

from savorydale.commands.explain import explain
from savorydale.logs.reading import read_log
from savorydale.logs.timeline import build_timeline

JOB = "5c0e7a21d94b36f8"


def log_line(vm, time, event, **fields):
    record = {"time": f"2026-01-19 10:00:{time}", "level": "INFO", "event": event}
    return json.dumps({**record, "vm": vm, **fields})


# The clock of e2 is 5 s ahead of that of e1 and later jumps back by 3 s.
LOG_OF_E1 = [
    log_line("e1", "00.000", "clock compared", store_ms=1000),
    log_line("e1", "01.000", "job submitted", job=JOB),
    log_line("e1", "01.500", "job submitted", job="0000000000000000"),
]
LOG_OF_E2 = [
    log_line("e2", "05.000", "clock compared", store_ms=1000),
    "a line of another program",
    log_line("e2", "06.020", "job taken in", job=JOB),
    log_line("e2", "06.040", "run assigned", job=JOB, task=f"{JOB}.0.0.1", worker="w1"),
    log_line("e2", "06.050", "run started", task=f"{JOB}.0.0.1", worker="w1"),
    log_line("e2", "06.060", "worker is quarantined", worker="w1"),
    log_line("e2", "06.070", "worker is quarantined", worker="w2"),
    log_line("e2", "04.000", "clock compared", store_ms=3000),
    log_line("e2", "04.500", "job ended", job=JOB, status="failed"),
]


def write_logs(tmp_path):
    paths = []
    for name, lines in (("e1.log", LOG_OF_E1), ("e2.log", LOG_OF_E2)):
        path = tmp_path / name
        path.write_text("\n".join(lines))
        paths.append(path)
    return paths


def test_the_timeline_is_ordered_by_the_store_clock(tmp_path):
    timeline = explain(write_logs(tmp_path), io.StringIO(), JOB)
    events = [" ".join(text.split()[3:5]) for text in timeline]
    assert events == [
        "job submitted",
        "job taken",
        "run assigned",
        "run started",
        "worker is",
        "job ended",
    ]
    assert timeline[1].split()[0] == "0.020"
    assert timeline[-1].split()[0] == "1.500"


def test_lines_with_a_prefix_are_read_from_standard_input():
    text = "\n".join(f"  1.0 e1 {line}" for line in LOG_OF_E1)
    assert len(explain([], io.StringIO(text), JOB)) == 1


def test_an_unknown_job_has_no_timeline():
    lines = list(read_log(io.StringIO("\n".join(LOG_OF_E1))))
    assert build_timeline(lines, "ffffffffffffffff") == []


def test_the_timeline_tells_why_a_task_of_the_job_waits():
    waits = {"task": f"{JOB}.0.0.0", "reason": "no_capacity", "reason_age": 2.5}
    lines = [
        *LOG_OF_E1,
        log_line("e1", "05.000", "task waits", job=JOB, **waits),
        log_line("e1", "05.100", "task waits", job="0000000000000000", task="0.0.0.0"),
    ]
    timeline = explain([], io.StringIO("\n".join(lines)), JOB)
    assert [text for text in timeline if "task waits" in text] == timeline[1:]
    assert "reason=no_capacity reason_age=2.5" in timeline[1]
