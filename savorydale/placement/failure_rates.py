"""Measure how many runs fail on the workers of a service now.

Many of the failures on a sound worker are of tasks that fail anywhere, so a worker is
judged by comparison with the others. Recent ends count most.
"""

import dataclasses

HALF_LIFE_SECONDS = 3.0
# Assumed of a fleet of which little is known yet.
PRIOR_FAILED = 1.0
PRIOR_ENDED = 20.0


@dataclasses.dataclass(slots=True)
class EndCounts:
    """Exponentially decayed counts of ends, as of ``updated_at`` on the loop's clock.

    ``ended`` counts the runs that are done or have failed.
    """

    failed: float = 0.0
    ended: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the counts decay until now."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
        self.failed *= factor
        self.ended *= factor
        self.updated_at = now

    def add(self, failed: float, ended: float) -> None:
        """Add to the counts; negative numbers subtract."""
        self.failed += failed
        self.ended += ended


class FailureRates:
    """Recent ends on the workers of one service."""

    def __init__(self) -> None:
        self._total = EndCounts()
        self._counts_by_worker: dict[str, EndCounts] = {}

    def record(self, worker: str, has_failed: bool, now: float) -> None:
        """Record the end of a run on a worker."""
        counts = self._counts_by_worker.setdefault(worker, EndCounts(updated_at=now))
        for each in (counts, self._total):
            each.decay(now)
            each.add(float(has_failed), 1.0)

    def forget(self, worker: str, now: float) -> None:
        """Leave out the ends on a worker, for example a faulty one."""
        counts = self._counts_by_worker.pop(worker, None)
        if counts is None:
            return
        counts.decay(now)
        self._total.decay(now)
        self._total.add(-counts.failed, -counts.ended)

    def ratio_elsewhere(self, worker: str, now: float) -> float:
        """Return the share of runs that fail on all workers but this one."""
        self._total.decay(now)
        own = self._counts_by_worker.get(worker, EndCounts(updated_at=now))
        own.decay(now)
        failed = self._total.failed - own.failed
        ended = self._total.ended - own.ended
        return (PRIOR_FAILED + failed) / (PRIOR_ENDED + ended)
