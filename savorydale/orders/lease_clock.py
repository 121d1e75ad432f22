"""Lease ends on one worker, measured by the worker's own clock."""

import asyncio

MAX_CLOCK_DRIFT = 0.02  # a worker's steady clock may run slow by this fraction
LAPSE_MARGIN_SECONDS = 0.2
EARLIER_HOLDER_MARGIN_SECONDS = 0.3  # its last extensions, and the worker's clock
MAX_EXTENSION_SECONDS = 2.0  # after the last response of the worker
# A draining worker leaves soon, and what still runs there waits for its lease.
DRAINING_LEASE_SECONDS = 6.0
MILLISECONDS_PER_SECOND = 1000


class LeaseClock:
    """Tracks a worker's steady clock and the latest lease end that was requested."""

    def __init__(self, lease_max_ms: float):
        self._lease_max_ms = lease_max_ms
        self._created_at = asyncio.get_running_loop().time()
        self._clock_ms: int | None = None
        self._clock_read_at = 0.0
        self._lease_end_ms = 0
        self._earlier_lapse_at = self._created_at + (
            lease_max_ms / MILLISECONDS_PER_SECOND / (1 - MAX_CLOCK_DRIFT)
            + EARLIER_HOLDER_MARGIN_SECONDS
        )

    def limit_earlier_leases(self, lapse_at: float) -> None:
        """Record that the leases of earlier lease holders lapse by ``lapse_at``."""
        self._earlier_lapse_at = min(self._earlier_lapse_at, lapse_at)

    def record_clock(self, clock_ms: int) -> None:
        """Record the time on the worker's clock, which was just received."""
        self._clock_ms = clock_ms
        self._clock_read_at = asyncio.get_running_loop().time()

    def reset_leases(self) -> None:
        """Forget the leases of an earlier incarnation, which had another clock."""
        self._lease_end_ms = 0
        self._earlier_lapse_at = self._created_at

    def next_lease_end_ms(self, is_draining: bool) -> int | None:
        """Return the lease end to request, or ``None`` if the clock is unknown.

        A draining worker gets leases of at most `DRAINING_LEASE_SECONDS`. The end is at
        most that of `MAX_EXTENSION_SECONDS` after the last response, because the tasks
        of a worker that has ended wait for the lapse.
        """
        if self._clock_ms is None:
            return None
        elapsed_seconds = asyncio.get_running_loop().time() - self._clock_read_at
        elapsed_seconds = min(elapsed_seconds, MAX_EXTENSION_SECONDS)
        clock_ms = self._clock_ms + elapsed_seconds * MILLISECONDS_PER_SECOND
        lease_ms = self._lease_max_ms
        if is_draining:
            lease_ms = min(lease_ms, DRAINING_LEASE_SECONDS * MILLISECONDS_PER_SECOND)
        end_ms = int(clock_ms + lease_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        return end_ms

    def latest_lapse_at(self) -> float:
        """Return when every lease requested on this worker has certainly lapsed."""
        if self._clock_ms is None or self._lease_end_ms == 0:
            return max(self._clock_read_at, self._earlier_lapse_at)
        left_ms = max(0, self._lease_end_ms - self._clock_ms)
        left_seconds = left_ms / MILLISECONDS_PER_SECOND / (1 - MAX_CLOCK_DRIFT)
        return self._clock_read_at + left_seconds + LAPSE_MARGIN_SECONDS
