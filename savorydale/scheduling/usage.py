"""Estimates how many processors tasks use, compared with what they declare."""

SMOOTHING_FACTOR = 0.2


class UsageEstimates:
    """Ratio of used to declared processors by job or service name.

    The ratio is an exponential moving average.
    """

    def __init__(self) -> None:
        self._ratio_by_name: dict[str, float] = {}

    def record(self, name: str, used: float, declared: float) -> None:
        """Record the processors that a task at full speed last used."""
        if declared <= 0:
            return
        ratio = used / declared
        previous = self._ratio_by_name.get(name, ratio)
        self._ratio_by_name[name] = previous + SMOOTHING_FACTOR * (ratio - previous)

    def estimate(self, name: str, declared: float) -> float:
        """Return the estimated processors that a task uses at full speed."""
        return declared * self._ratio_by_name.get(name, 1.0)
