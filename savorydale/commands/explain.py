"""Print the story of one job from the logs of several processes, in order."""

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
MILLISECONDS = 1000
SPAN_MARGIN_MS = 3000

JsonObject = dict[str, Any]


class LogLine(NamedTuple):
    """One parsed line; ``wall_ms`` is its VM's time of day."""

    vm: str
    wall_ms: float
    event: str
    fields: JsonObject


class StoryLine(NamedTuple):
    """One line of a job's story; ``store_ms`` is on the store's steady clock."""

    store_ms: float
    line: LogLine


def read_log(file: TextIO) -> Iterator[LogLine]:
    """Yield the structured lines of a log, whatever stands before them."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            wall = datetime.strptime(fields["time"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue  # a line of another program
        yield LogLine(
            str(fields.get("vm", "?")),
            wall.timestamp() * MILLISECONDS,
            str(fields.get("event", "")),
            fields,
        )


class StoreClock:
    """Converts each VM's time of day to the store's clock, which all share.

    A VM's time of day may be wrong or jump; its lines that compare the two clocks give
    the difference from then on.
    """

    def __init__(self, lines: Iterable[LogLine]):
        self._offsets_by_vm: dict[str, list[tuple[int, float]]] = {}
        for number, line in enumerate(lines):
            if line.event == CLOCK_EVENT:
                offset = float(line.fields["store_ms"]) - line.wall_ms
                self._offsets_by_vm.setdefault(line.vm, []).append((number, offset))

    def to_store_ms(self, number: int, line: LogLine) -> float:
        """Return the store's time of the line with this number."""
        offsets = self._offsets_by_vm.get(line.vm)
        if not offsets:
            return line.wall_ms
        index = bisect.bisect_right(offsets, (number, float("inf"))) - 1
        return line.wall_ms + offsets[max(0, index)][1]


def tell_story(lines: list[LogLine], job: str) -> list[StoryLine]:
    """Return what happened to a job and around it, by the store's clock."""
    clock = StoreClock(lines)
    dated = [
        StoryLine(clock.to_store_ms(number, line), line)
        for number, line in enumerate(lines)
    ]
    own = [entry for entry in dated if _concerns(entry.line, job)]
    if not own:
        return []
    first = min(entry.store_ms for entry in own) - SPAN_MARGIN_MS
    last = max(entry.store_ms for entry in own) + SPAN_MARGIN_MS
    workers = {entry.line.fields.get("worker") for entry in own} - {None}
    around = [
        entry
        for entry in dated
        if first <= entry.store_ms <= last and _is_context(entry.line, workers)
    ]
    return sorted([*own, *around], key=lambda entry: entry.store_ms)


def format_story(story: list[StoryLine]) -> list[str]:
    """Return a line for each event, with the seconds since the first."""
    if not story:
        return []
    start_ms = story[0].store_ms
    texts = []
    for store_ms, line in story:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        seconds = (store_ms - start_ms) / MILLISECONDS
        texts.append(
            f"{seconds:9.3f} s  {line.vm:24} {line.event:24} {details}".rstrip()
        )
    return texts


def explain(paths: list[pathlib.Path], standard_input: TextIO, job: str) -> list[str]:
    """Return a job's story from log files, or from standard input if none is given."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_log(file)
    if not paths:
        lines += read_log(standard_input)
    return format_story(tell_story(lines, job))


def _concerns(line: LogLine, job: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.startswith(job + ".")


def _is_context(line: LogLine, workers: set[object]) -> bool:
    if line.event in CONTEXT_EVENTS:
        return True
    return line.event in WORKER_EVENTS and line.fields.get("worker") in workers
