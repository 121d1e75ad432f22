"""Estimates of how long calls of a service run and wait for a slot."""

EWMA_WEIGHT = 0.05


class ServiceEstimate:
    """Running mean and median of the time that calls of one service hold a slot."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.median_seconds = float("inf")
        self._has_samples = False

    def record(self, seconds: float) -> None:
        """Update the estimates with the time that a call held its slot."""
        if not self._has_samples:
            self.mean_seconds = seconds
            self.median_seconds = seconds
            self._has_samples = True
            return
        self.mean_seconds += EWMA_WEIGHT * (seconds - self.mean_seconds)
        step = EWMA_WEIGHT * self.mean_seconds
        self.median_seconds += step if seconds > self.median_seconds else -step
        self.median_seconds = max(0.0, self.median_seconds)

    @property
    def expected_seconds(self) -> float:
        """Return the expected time from getting a slot to the response."""
        return self.median_seconds if self._has_samples else 0.0

    def wait_seconds(self, calls_ahead: int, slots: int) -> float:
        """Return how long a call waits with ``calls_ahead`` calls in front of it.

        Parameters
        ----------
        calls_ahead : int
            Calls that get a slot before this one.
        slots : int
            Slots that this entry may use for the service.
        """
        if slots <= 0:
            return 0.0
        return (calls_ahead + 1) * self.mean_seconds / slots
