"""Latency of each worker as this entry observes it, and ejection of failing workers.

Ejection is a circuit breaker: an ejected worker (open) gets no calls, one on trial
(half-open) gets one at a time.
"""

import statistics
from typing import NamedTuple

EWMA_WEIGHT = 0.2
FAILURES_TO_EJECT = 3
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 15.0
SLOW_LATENCY_RATIO = 3.0


class Ejection(NamedTuple):
    """End of an ejection (loop time) and its length."""

    ends_at: float
    seconds: float


class WorkerHealth:
    """Latency and consecutive failures of one worker, as observed by this entry."""

    def __init__(self) -> None:
        self.latency_seconds: float | None = None
        self._failures = 0
        self._ejection = Ejection(0.0, 0.0)

    def record_answer(self, seconds: float) -> None:
        """Update the latency with a complete response and reset the failures."""
        if self.latency_seconds is None:
            self.latency_seconds = seconds
        else:
            self.latency_seconds += EWMA_WEIGHT * (seconds - self.latency_seconds)
        self._failures = 0
        self._ejection = Ejection(0.0, 0.0)

    def record_failure(self, now: float) -> bool:
        """Count a failure and return whether it ejects the worker."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        seconds = min(
            max(MIN_EJECTION_SECONDS, self._ejection.seconds * 2),
            MAX_EJECTION_SECONDS,
        )
        self._ejection = Ejection(now + seconds, seconds)
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether no calls may be sent to the worker at ``now``."""
        return now < self._ejection.ends_at

    @property
    def ejected_until(self) -> float:
        """Return the end of the ejection in loop time."""
        return self._ejection.ends_at

    @property
    def is_on_trial(self) -> bool:
        """Return whether the next outcome decides if the worker is ejected again."""
        return self._failures >= FAILURES_TO_EJECT


class HealthByWorker:
    """Health of all workers, created on first use."""

    def __init__(self) -> None:
        self._health_by_worker: dict[str, WorkerHealth] = {}

    def of(self, worker: str) -> WorkerHealth:
        """Return the health of ``worker``."""
        return self._health_by_worker.setdefault(worker, WorkerHealth())

    def slow_threshold_seconds(self, workers: list[str]) -> float:
        """Return the latency in seconds above which one of ``workers`` is slow."""
        known = [
            latency
            for worker in workers
            if (latency := self.of(worker).latency_seconds) is not None
        ]
        if not known:
            return float("inf")
        return SLOW_LATENCY_RATIO * statistics.median_low(known)
