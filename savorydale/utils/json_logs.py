"""Structured logs: one JSON object a line, written without ever blocking the loop."""

import contextlib
import logging
import logging.handlers
import queue
import sys
from collections.abc import Iterator

from pythonjsonlogger.json import JsonFormatter

from savorydale.counters import Counters

QUEUED_LINES = 2_000
FIELDS = "{asctime}{levelname}{name}{message}"
RENAMED = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
    "message": "event",
}


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queues records for the writer's thread; counts those that find no room."""

    def __init__(self, records: queue.Queue, counters: Counters):
        super().__init__(records)
        self._counters = counters

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave formatting to the writer's thread."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._counters.increment("log.dropped")


@contextlib.contextmanager
def json_logs(level: str, vm: str, counters: Counters) -> Iterator[None]:
    """Write log lines of a VM to standard output until the end of the block."""
    formatter = JsonFormatter(
        FIELDS,
        style="{",
        rename_fields=RENAMED,
        static_fields={"vm": vm},
        json_ensure_ascii=False,
    )
    formatter.default_msec_format = "%s.%03d"
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(formatter)
    records: queue.Queue = queue.Queue(QUEUED_LINES)
    listener = logging.handlers.QueueListener(records, writer)
    root = logging.getLogger()
    root.handlers[:] = [DroppingQueueHandler(records, counters)]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp").setLevel(logging.WARNING)
    listener.start()
    try:
        yield
    finally:
        listener.stop()
