"""The store's steady clock, as far as its responses tell it."""

import asyncio

from savorydale.utils.suspension import suspended_seconds

MILLISECONDS_PER_SECOND = 1000
RESPONSE_MARGIN_MS = 300.0  # a response may be this old when it arrives


class StoreClock:
    """Bounds of the store's clock, from a read that was sent and answered once.

    ``now_ms`` is the time in the answer; the other times are on the loop's clock.
    """

    def __init__(self, now_ms: float, sent_at: float, answered_at: float):
        self._min_offset_ms = now_ms - answered_at * MILLISECONDS_PER_SECOND
        self._max_offset_ms = now_ms - sent_at * MILLISECONDS_PER_SECOND
        self._suspended_seconds = suspended_seconds()

    def observe(self, now_ms: float) -> None:
        """Record the time in an answer that has just arrived: the clocks may drift."""
        loop_ms = asyncio.get_running_loop().time() * MILLISECONDS_PER_SECOND
        offset_ms = now_ms - loop_ms + RESPONSE_MARGIN_MS
        self._max_offset_ms = max(self._max_offset_ms, offset_ms)

    def latest_ms(self, at: float) -> int:
        """Return the store's time at a time on the loop's clock, at the latest."""
        lost_seconds = suspended_seconds() - self._suspended_seconds
        at_ms = (at + lost_seconds) * MILLISECONDS_PER_SECOND
        return int(at_ms + self._max_offset_ms) + 1

    def certainly_reached_at(self, store_ms: float) -> float:
        """Return when the store's clock has surely come so far, on the loop's clock."""
        return (store_ms - self._min_offset_ms) / MILLISECONDS_PER_SECOND
