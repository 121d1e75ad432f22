"""Measure how many runs fail on the workers of a service now.

Many of the failures on a sound worker are of tasks that fail anywhere, so a worker is
judged by comparison with the others. Recent ends count most. The share is taken over
the last seconds and over the last ends, and the larger one counts: a burst of jobs that
cannot be done shows at once in the latter.
"""

import dataclasses

HALF_LIFE_SECONDS = 3.0
HALF_LIFE_ENDS = 30
# Assumed of a fleet of which little is known yet.
PRIOR_FAILED_RATIO = 0.05
PRIOR_ENDS = 20.0  # that the assumption counts as, in the window by time
PRIOR_ENDS_BY_COUNT = 4.0  # less, so that a burst shows soon


@dataclasses.dataclass(slots=True)
class EndCounts:
    """Exponentially decayed counts of ends, as of ``age``, in half-lives.

    ``ended`` counts the runs that are done or have failed.
    """

    failed: float = 0.0
    ended: float = 0.0
    age: float = 0.0

    def decay(self, age: float) -> None:
        """Let the counts decay until ``age``."""
        factor = 0.5 ** (age - self.age)
        self.failed *= factor
        self.ended *= factor
        self.age = age

    def add(self, failed: float, ended: float) -> None:
        """Add to the counts; negative numbers subtract."""
        self.failed += failed
        self.ended += ended


class EndWindow:
    """Ends on each worker, of which those some half-lives ago hardly count.

    `PRIOR_FAILED_RATIO` counts as that of ``prior_ends`` ends.
    """

    def __init__(self, prior_ends: float) -> None:
        self._prior_ends = prior_ends
        self._total = EndCounts()
        self._counts_by_worker: dict[str, EndCounts] = {}

    def record(self, worker: str, has_failed: bool, age: float) -> None:
        """Record the end of a run on a worker."""
        counts = self._counts_by_worker.setdefault(worker, EndCounts(age=age))
        for each in (counts, self._total):
            each.decay(age)
            each.add(float(has_failed), 1.0)

    def forget(self, worker: str, age: float) -> None:
        """Leave out the ends on a worker."""
        counts = self._counts_by_worker.pop(worker, None)
        if counts is None:
            return
        counts.decay(age)
        self._total.decay(age)
        self._total.add(-counts.failed, -counts.ended)

    def ratio_elsewhere(self, worker: str, age: float) -> float:
        """Return the share of runs that fail on all workers but this one."""
        self._total.decay(age)
        own = self._counts_by_worker.get(worker, EndCounts(age=age))
        own.decay(age)
        failed = self._total.failed - own.failed
        ended = self._total.ended - own.ended
        prior_failed = PRIOR_FAILED_RATIO * self._prior_ends
        return (prior_failed + failed) / (self._prior_ends + ended)


class FailureRates:
    """Recent ends on the workers of one service."""

    def __init__(self) -> None:
        self._by_time = EndWindow(PRIOR_ENDS)
        self._by_count = EndWindow(PRIOR_ENDS_BY_COUNT)
        self._end_count = 0

    def record(self, worker: str, has_failed: bool, now: float) -> None:
        """Record the end of a run on a worker."""
        self._end_count += 1
        self._by_time.record(worker, has_failed, now / HALF_LIFE_SECONDS)
        self._by_count.record(worker, has_failed, self._age_by_count)

    def forget(self, worker: str, now: float) -> None:
        """Leave out the ends on a worker, for example a faulty one."""
        self._by_time.forget(worker, now / HALF_LIFE_SECONDS)
        self._by_count.forget(worker, self._age_by_count)

    def ratio_elsewhere(self, worker: str, now: float) -> float:
        """Return the share of runs that fail on all workers but this one."""
        return max(
            self._by_time.ratio_elsewhere(worker, now / HALF_LIFE_SECONDS),
            self._by_count.ratio_elsewhere(worker, self._age_by_count),
        )

    @property
    def _age_by_count(self) -> float:
        return self._end_count / HALF_LIFE_ENDS
