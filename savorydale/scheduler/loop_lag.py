"""Finds a VM that is too slow to schedule for all others."""

from savorydale.exceptions import OverloadedError

MAX_LAG_SECONDS = 0.1
LATE_TICKS = 12


class LoopLag:
    """Finds that the event loop cannot keep up, which makes all jobs late."""

    def __init__(self) -> None:
        self._late_ticks = 0

    def observe(self, lag_seconds: float) -> None:
        """Take in by how much a timer was late.

        Raises
        ------
        OverloadedError
            If many timers in a row were late.
        """
        self._late_ticks = self._late_ticks + 1 if lag_seconds > MAX_LAG_SECONDS else 0
        if self._late_ticks >= LATE_TICKS:
            raise OverloadedError(f"{LATE_TICKS} timers in a row were late")
