"""Detects that this VM is too slow to schedule all jobs."""

from savorydale.exceptions import OverloadedError

LATE_TICK_SECONDS = 0.1  # a timer with a longer delay counts as late
MAX_LATE_TICKS = 12


class LoopLagMonitor:
    """Detects an event loop that cannot keep up and so delays all jobs."""

    def __init__(self) -> None:
        self._late_ticks = 0

    def observe(self, lag_seconds: float) -> None:
        """Record the delay of a timer.

        Raises
        ------
        OverloadedError
            If `MAX_LATE_TICKS` timers in a row were late.
        """
        self._late_ticks = (
            self._late_ticks + 1 if lag_seconds > LATE_TICK_SECONDS else 0
        )
        if self._late_ticks >= MAX_LATE_TICKS:
            raise OverloadedError(f"{MAX_LATE_TICKS} timers in a row were late")
