"""Processors that work really uses, against what it declares."""

SMOOTHING = 0.2


class UsageEstimates:
    """Used processors as a part of the declared ones, by name of the work."""

    def __init__(self) -> None:
        self._ratio_by_name: dict[str, float] = {}

    def record(self, name: str, used: float, declared: float) -> None:
        """Take note of what a task at full pace was last seen to use."""
        if declared <= 0:
            return
        ratio = used / declared
        known = self._ratio_by_name.get(name, ratio)
        self._ratio_by_name[name] = known + SMOOTHING * (ratio - known)

    def estimate(self, name: str, declared: float) -> float:
        """Return the processors that a task is expected to use."""
        return declared * self._ratio_by_name.get(name, 1.0)
