"""How long calls of a service take, and how long the next one would wait."""

SMOOTHING = 0.05


class ServiceEstimate:
    """Time that calls of one service hold a slot."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.median_seconds = float("inf")
        self._known = False

    def record(self, seconds: float) -> None:
        """Take note of how long a call held its slot."""
        if not self._known:
            self.mean_seconds = seconds
            self.median_seconds = seconds
            self._known = True
            return
        self.mean_seconds += SMOOTHING * (seconds - self.mean_seconds)
        step = SMOOTHING * self.mean_seconds
        self.median_seconds += step if seconds > self.median_seconds else -step
        self.median_seconds = max(0.0, self.median_seconds)

    @property
    def expected_seconds(self) -> float:
        """Return the time that a call needs once it has a slot."""
        return self.median_seconds if self._known else 0.0

    def wait_seconds(self, ahead: int, slots: int) -> float:
        """Return how long a call waits with ``ahead`` calls before it.

        Parameters
        ----------
        ahead : int
            Calls that get a slot first.
        slots : int
            Slots that this entry may use for the service.
        """
        if slots <= 0:
            return 0.0
        return (ahead + 1) * self.mean_seconds / slots
