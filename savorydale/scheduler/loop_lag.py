"""Detects that this VM is too slow to schedule all jobs."""

from savorydale.exceptions import OverloadedError

LATE_TICK_SECONDS = 0.1  # a timer with a longer delay counts as late
LATE_TICK_LIMIT = 12


class LoopLagMonitor:
    """Detects an event loop that cannot keep up and so delays all jobs."""

    def __init__(self) -> None:
        self._late_ticks = 0

    def observe(self, lag_seconds: float) -> None:
        """Record the delay of a timer.

        Raises
        ------
        OverloadedError
            If `LATE_TICK_LIMIT` timers in a row were late.
        """
        self._late_ticks = (
            self._late_ticks + 1 if lag_seconds > LATE_TICK_SECONDS else 0
        )
        if self._late_ticks >= LATE_TICK_LIMIT:
            raise OverloadedError(f"{LATE_TICK_LIMIT} timers in a row were late")
