"""Read structured log lines of several processes, and put them on one clock."""

import bisect
import pathlib
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import NamedTuple, TextIO

from savorydale.exceptions import RowFormatError
from savorydale.utils.json_values import JsonObject, load_json_object

CLOCK_EVENT = "clock compared"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
MILLISECONDS_PER_SECOND = 1000


class LogLine(NamedTuple):
    """One parsed log line; ``wall_ms`` is the time of day of its VM."""

    vm: str
    wall_ms: float
    event: str
    fields: JsonObject


def read_log(file: TextIO) -> Iterator[LogLine]:
    """Yield the structured lines of a log; each may have a prefix."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = load_json_object(text[start:])
            wall_time = datetime.strptime(fields["time"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError, RowFormatError):
            continue  # a line of another program, or one that was cut
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
            store_ms = line.fields.get("store_ms")
            if line.event == CLOCK_EVENT and isinstance(store_ms, int | float):
                offset = store_ms - line.wall_ms
                self._offsets_by_vm.setdefault(line.vm, []).append((number, offset))

    def to_store_ms(self, number: int, line: LogLine) -> float:
        """Return the time on the store's clock of the line with this number."""
        offsets = self._offsets_by_vm.get(line.vm)
        if not offsets:
            return line.wall_ms
        index = bisect.bisect_right(offsets, (number, float("inf"))) - 1
        return line.wall_ms + offsets[max(0, index)][1]


def read_logs(paths: list[pathlib.Path], standard_input: TextIO) -> list[LogLine]:
    """Return the lines of log files, or of standard input if no file is given."""
    if not paths:
        return list(read_log(standard_input))
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_log(file)
    return lines
