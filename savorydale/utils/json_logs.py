"""Structured logging: one JSON object per line, without blocking the event loop."""

import contextlib
import logging
import logging.handlers
import queue
import sys
from collections.abc import Iterator

from pythonjsonlogger.json import JsonFormatter

from savorydale.counters import Counters

MAX_QUEUED_RECORDS = 2_000
FIELDS = "{asctime}{levelname}{name}{message}"
RENAMED_FIELDS = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
    "message": "event",
}


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queues records for the listener thread; when full, drops and counts them."""

    def __init__(self, records: queue.Queue, counters: Counters):
        super().__init__(records)
        self._counters = counters

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted; the listener thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._counters.increment("log.dropped")


@contextlib.contextmanager
def json_logs(level: str, vm: str, counters: Counters) -> Iterator[None]:
    """Log to standard output, with the name of the VM, until the end of the block."""
    formatter = JsonFormatter(
        FIELDS,
        style="{",
        rename_fields=RENAMED_FIELDS,
        static_fields={"vm": vm},
        json_ensure_ascii=False,
    )
    formatter.default_msec_format = "%s.%03d"
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(formatter)
    records: queue.Queue = queue.Queue(MAX_QUEUED_RECORDS)
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
