"""Time of day from the system clock, or in tests from the event loop's clock."""

import asyncio
import datetime
import time


class WallClock:
    """Current date and time.

    Parameters
    ----------
    unix_seconds_at_zero : float or None, default=None
        Unix time in seconds at loop time 0; the system clock is used if None.
    """

    def __init__(self, unix_seconds_at_zero: float | None = None):
        self._unix_seconds_at_zero = unix_seconds_at_zero

    def now(self) -> datetime.datetime:
        """Return the time in UTC."""
        if self._unix_seconds_at_zero is None:
            seconds = time.time()
        else:
            seconds = self._unix_seconds_at_zero + asyncio.get_running_loop().time()
        return datetime.datetime.fromtimestamp(seconds, datetime.UTC)
