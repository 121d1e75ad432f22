"""Compute the headroom that services leave on workers for batch tasks.

Urgent batch tasks arrive in bursts and are worth more per core-second than another
service replica. The headroom is spread evenly over the workers, and is required only
when little capacity for the service is left.
"""

import math

DECAY_SECONDS = 20.0  # time constant of the decaying peak
MARGIN_RATIO = 1.2  # of the peak demand


class BatchTaskDemand:
    """Tracks the exponentially decaying peak of the CPU demand of batch tasks."""

    def __init__(self) -> None:
        self._peak_millicores = 0.0
        self._updated_at = 0.0

    def observe(self, millicores: float, now: float) -> None:
        """Record the current CPU demand of running and waiting batch tasks."""
        decay = math.exp(-(now - self._updated_at) / DECAY_SECONDS)
        self._peak_millicores = max(millicores, self._peak_millicores * decay)
        self._updated_at = now

    def headroom_per_worker(self, workers: int) -> float:
        """Return the millicores that each of ``workers`` workers should keep free."""
        return MARGIN_RATIO * self._peak_millicores / max(1, workers)
