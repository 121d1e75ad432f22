"""Decides how long a worker may wait before it responds to a renewal.

Answers the load of a large fleet on the one process that schedules it: each renewal
costs processor time, whether or not anything has changed. A worker responds at once
when a run ends, so longer waits only make the reports of usage and progress rarer.
"""

MIN_WAIT_MS = 500
MAX_WAIT_MS = 2_000  # the longest wait that workers accept
MAX_RENEWALS_PER_SECOND = 600.0
MILLISECONDS_PER_SECOND = 1000


def renewal_wait_ms(worker_count: int) -> int:
    """Return the wait with which ``worker_count`` workers cost a bounded rate."""
    wait_ms = worker_count / MAX_RENEWALS_PER_SECOND * MILLISECONDS_PER_SECOND
    return int(min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms)))
