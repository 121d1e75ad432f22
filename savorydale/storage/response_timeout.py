"""Adaptive timeout for transactions of the store.

A short timeout detects a lost response early. But a slow or overloaded store also
executes the transactions that timed out and were retried, which adds to its load. So
the timeout is a multiple of the measured response time.
"""

MIN_SECONDS = 0.6
MAX_SECONDS = 1.6  # the store refuses what would queue for longer than 1 s
RESPONSE_TIME_RATIO = 8.0  # transactions take longer than reads, and they queue
TIMEOUT_GROWTH_RATIO = 2.0


class ResponseTimeout:
    """Timeout of the next transaction, derived from the latest response time."""

    def __init__(self) -> None:
        self.seconds = MIN_SECONDS

    def record_response(self, seconds: float) -> None:
        """Record the response time of a transaction or of another call."""
        self.seconds = min(MAX_SECONDS, max(MIN_SECONDS, RESPONSE_TIME_RATIO * seconds))

    def record_timeout(self) -> None:
        """Record that a transaction timed out, which doubles the timeout."""
        self.seconds = min(MAX_SECONDS, TIMEOUT_GROWTH_RATIO * self.seconds)
