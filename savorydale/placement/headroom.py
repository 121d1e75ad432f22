"""How much room services leave for short tasks that reserve processors.

Answers a full fleet: short urgent tasks come in bursts and are worth more for each
core-second than one service more. The room is kept in pieces, a little on each worker,
and only while hardly any place for the service is left.
"""

import math

DECAY_SECONDS = 20.0
MARGIN_RATIO = 1.2


class BatchTaskDemand:
    """Decaying maximum of the processors that short tasks ask for at once."""

    def __init__(self) -> None:
        self._peak_millicores = 0.0
        self._updated_at = 0.0

    def observe(self, millicores: float, now: float) -> None:
        """Take in what running and waiting short tasks ask for."""
        decay = math.exp(-(now - self._updated_at) / DECAY_SECONDS)
        self._peak_millicores = max(millicores, self._peak_millicores * decay)
        self._updated_at = now

    def headroom_per_worker(self, workers: int) -> float:
        """Return the millicores that each of ``workers`` should keep free."""
        return MARGIN_RATIO * self._peak_millicores / max(1, workers)
