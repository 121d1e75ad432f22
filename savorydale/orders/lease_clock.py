"""When the leases on one worker end, told by the worker's own clock."""

import asyncio

CLOCK_DRIFT = 0.02  # a worker's steady clock may be this much slow
LAPSE_MARGIN_SECONDS = 0.2
UNHEARD_LAPSE_MARGIN_SECONDS = 1.0
MILLISECONDS = 1000


class LeaseClock:
    """Follows a worker's steady clock and the latest lease end asked for."""

    def __init__(self, lease_max_ms: float):
        self._lease_max_ms = lease_max_ms
        self._created_at = asyncio.get_running_loop().time()
        self._clock_ms: int | None = None
        self._clock_at = 0.0
        self._lease_end_ms = 0

    def note_clock(self, clock_ms: int) -> None:
        """Take in what the worker's clock showed a moment ago."""
        self._clock_ms = clock_ms
        self._clock_at = asyncio.get_running_loop().time()

    def begin_new_life(self) -> None:
        """Forget the leases of the worker's earlier life, whose clock has ended."""
        self._lease_end_ms = 0

    def next_lease_end_ms(self) -> int | None:
        """Return the lease end to ask for, ``None`` before the clock is known."""
        if self._clock_ms is None:
            return None
        elapsed = asyncio.get_running_loop().time() - self._clock_at
        clock_ms = self._clock_ms + elapsed * MILLISECONDS
        end_ms = int(clock_ms + self._lease_max_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        return end_ms

    def lapse_at(self) -> float:
        """Return when every lease ever asked for on this worker has surely ended."""
        if self._clock_ms is None:
            longest = self._lease_max_ms / MILLISECONDS / (1 - CLOCK_DRIFT)
            return self._created_at + longest + UNHEARD_LAPSE_MARGIN_SECONDS
        left_ms = max(0, self._lease_end_ms - self._clock_ms)
        left = left_ms / MILLISECONDS / (1 - CLOCK_DRIFT)
        return self._clock_at + left + LAPSE_MARGIN_SECONDS
