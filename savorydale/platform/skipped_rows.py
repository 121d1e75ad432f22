"""Count the rows that cannot be read, and log them at a bounded rate.

Another program may write the same odd row again and again, or thousands of them.
"""

import asyncio
import logging
from typing import NamedTuple

from savorydale.counters import Counters

SECONDS_BETWEEN_LINES = 5.0  # about one row
MAX_LINES_PER_SECOND = 10  # about all rows
MAX_REMEMBERED_ROWS = 10_000

log = logging.getLogger(__name__)


class LoggedRow(NamedTuple):
    """What was logged last about a row, on the loop's clock; and repetitions since."""

    reason: str
    logged_at: float
    repetitions: int = 0


class SkippedRows:
    """Logs why a row is skipped if the reason has changed, and counts each time."""

    def __init__(self, event: str, counter: str, counters: Counters):
        self._event = event
        self._counter = counter
        self._counters = counters
        self._logged_by_key: dict[str, LoggedRow] = {}
        self._second = 0
        self._lines_in_second = 0

    def record(self, key: str, reason: str) -> None:
        """Record that the row with this key is skipped."""
        self._counters.increment(self._counter)
        now = asyncio.get_running_loop().time()
        logged = self._logged_by_key.get(key)
        if logged is not None and not self._is_due(logged, reason, now):
            repetitions = logged.repetitions + 1
            self._logged_by_key[key] = logged._replace(repetitions=repetitions)
            return
        if not self._take_line(now):
            return
        repetitions = logged.repetitions if logged else 0
        self._remember(key, LoggedRow(reason, now))
        log.info(
            self._event,
            extra={"key": key, "reason": reason, "repetitions": repetitions},
        )

    def _is_due(self, logged: LoggedRow, reason: str, now: float) -> bool:
        return (
            reason != logged.reason and now - logged.logged_at >= SECONDS_BETWEEN_LINES
        )

    def _take_line(self, now: float) -> bool:
        """Return whether one more line may be logged in this second."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_SECOND

    def _remember(self, key: str, logged: LoggedRow) -> None:
        self._logged_by_key.pop(key, None)
        self._logged_by_key[key] = logged
        if len(self._logged_by_key) > MAX_REMEMBERED_ROWS:
            del self._logged_by_key[next(iter(self._logged_by_key))]
