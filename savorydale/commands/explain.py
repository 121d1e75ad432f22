"""Merge the logs of several processes into the timeline of one job."""

import bisect
import json
import pathlib
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple, TextIO

CLOCK_EVENT = "clock compared"
CONTEXT_EVENTS = (
    "lease acquired",
    "lease lost",
    "lease released",
    "entry serves",
    "entry stops",
    "jobs loaded",
)
WORKER_EVENTS = (
    "worker answers",
    "worker was restarted",
    "worker is quarantined",
    "worker state changed",
)
HIDDEN_FIELDS = ("time", "level", "logger", "event", "vm", "job")
TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
MILLISECONDS_PER_SECOND = 1000
CONTEXT_MARGIN_MS = 3000

JsonObject = dict[str, Any]


class LogLine(NamedTuple):
    """One parsed log line; ``wall_ms`` is the time of day of its VM."""

    vm: str
    wall_ms: float
    event: str
    fields: JsonObject


class TimelineLine(NamedTuple):
    """One line of a job's timeline; ``store_ms`` is a time on the store's clock.

    The store's clock is steady; times of day are not.
    """

    store_ms: float
    line: LogLine


def read_log(file: TextIO) -> Iterator[LogLine]:
    """Yield the structured lines of a log; each may have a prefix."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            wall_time = datetime.strptime(fields["time"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue  # a line of another program
        yield LogLine(
            str(fields.get("vm", "?")),
            wall_time.timestamp() * MILLISECONDS_PER_SECOND,
            str(fields.get("event", "")),
            fields,
        )


class StoreClock:
    """Converts each VM's time of day to the store's clock, which is common to all.

    A VM's time of day may be wrong or jump. Its log lines that compare the two clocks
    give the offset for the lines that follow.
    """

    def __init__(self, lines: Iterable[LogLine]):
        self._offsets_by_vm: dict[str, list[tuple[int, float]]] = {}
        for number, line in enumerate(lines):
            if line.event == CLOCK_EVENT:
                offset = float(line.fields["store_ms"]) - line.wall_ms
                self._offsets_by_vm.setdefault(line.vm, []).append((number, offset))

    def to_store_ms(self, number: int, line: LogLine) -> float:
        """Return the time on the store's clock of the line with this number."""
        offsets = self._offsets_by_vm.get(line.vm)
        if not offsets:
            return line.wall_ms
        index = bisect.bisect_right(offsets, (number, float("inf"))) - 1
        return line.wall_ms + offsets[max(0, index)][1]


def build_timeline(lines: list[LogLine], job: str) -> list[TimelineLine]:
    """Return the lines about a job and their context, ordered by the store's clock."""
    clock = StoreClock(lines)
    all_lines = [
        TimelineLine(clock.to_store_ms(number, line), line)
        for number, line in enumerate(lines)
    ]
    job_lines = [item for item in all_lines if _is_about_job(item.line, job)]
    if not job_lines:
        return []
    first_ms = min(item.store_ms for item in job_lines) - CONTEXT_MARGIN_MS
    last_ms = max(item.store_ms for item in job_lines) + CONTEXT_MARGIN_MS
    workers = {item.line.fields.get("worker") for item in job_lines} - {None}
    context_lines = [
        item
        for item in all_lines
        if first_ms <= item.store_ms <= last_ms and _is_context(item.line, workers)
    ]
    return sorted([*job_lines, *context_lines], key=lambda item: item.store_ms)


def format_timeline(timeline: list[TimelineLine]) -> list[str]:
    """Return one line of text per event, with the seconds since the first event."""
    if not timeline:
        return []
    start_ms = timeline[0].store_ms
    texts = []
    for store_ms, line in timeline:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        seconds = (store_ms - start_ms) / MILLISECONDS_PER_SECOND
        texts.append(
            f"{seconds:9.3f} s  {line.vm:24} {line.event:24} {details}".rstrip()
        )
    return texts


def explain(paths: list[pathlib.Path], standard_input: TextIO, job: str) -> list[str]:
    """Return a job's timeline from log files, or standard input if none is given."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_log(file)
    if not paths:
        lines += read_log(standard_input)
    return format_timeline(build_timeline(lines, job))


def _is_about_job(line: LogLine, job: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.startswith(job + ".")


def _is_context(line: LogLine, workers: set[object]) -> bool:
    if line.event in CONTEXT_EVENTS:
        return True
    return line.event in WORKER_EVENTS and line.fields.get("worker") in workers
