"""How fast each worker answers, and which workers are left alone for a while."""

import statistics
from typing import NamedTuple

SMOOTHING = 0.2
FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 0.5
LONGEST_EJECTION_SECONDS = 15.0
SLOW_RATIO = 3.0


class Ejection(NamedTuple):
    """Until when (loop time) a worker gets nothing, and how long that was."""

    until: float
    seconds: float


class WorkerHealth:
    """Latency and failures of one worker, as this entry has seen them."""

    def __init__(self) -> None:
        self.latency_seconds: float | None = None
        self._failures = 0
        self._ejection = Ejection(0.0, 0.0)

    def record_answer(self, seconds: float) -> None:
        """Take note of a whole answer."""
        if self.latency_seconds is None:
            self.latency_seconds = seconds
        else:
            self.latency_seconds += SMOOTHING * (seconds - self.latency_seconds)
        self._failures = 0
        self._ejection = Ejection(0.0, 0.0)

    def record_failure(self, now: float) -> bool:
        """Take note of a failure; tell whether the worker is ejected by it."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        seconds = min(
            max(FIRST_EJECTION_SECONDS, self._ejection.seconds * 2),
            LONGEST_EJECTION_SECONDS,
        )
        self._ejection = Ejection(now + seconds, seconds)
        return True

    def is_ejected(self, now: float) -> bool:
        """Tell whether the worker gets nothing for now."""
        return now < self._ejection.until

    @property
    def ejected_until(self) -> float:
        """Return until when (loop time) the worker gets nothing."""
        return self._ejection.until

    @property
    def is_on_trial(self) -> bool:
        """Tell whether the worker's next answer decides if it is ejected again."""
        return self._failures >= FAILURES_TO_EJECT


class HealthByWorker:
    """Health of all workers."""

    def __init__(self) -> None:
        self._health_by_worker: dict[str, WorkerHealth] = {}

    def of(self, worker: str) -> WorkerHealth:
        """Return the health of ``worker``."""
        return self._health_by_worker.setdefault(worker, WorkerHealth())

    def slow_threshold_seconds(self, workers: list[str]) -> float:
        """Return the latency in seconds over which one of ``workers`` is slow."""
        known = [
            latency
            for worker in workers
            if (latency := self.of(worker).latency_seconds) is not None
        ]
        if not known:
            return float("inf")
        return SLOW_RATIO * statistics.median_low(known)
