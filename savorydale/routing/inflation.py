"""Latency inflation of each service on each worker, relative to its fastest workers."""

import statistics
from typing import NamedTuple

SAMPLES_PER_WINDOW = 100
BASELINE_QUANTILE = 0.2
MAX_BASELINE_RISE = 1.0005
INFLATION_STEP = 0.05


class WorkerService(NamedTuple):
    """A service on one worker."""

    worker: str
    service: str


class LatencyWindow:
    """Mean latency of one service on one worker, in windows of a fixed size."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0
        self.mean: float | None = None

    def record(self, seconds: float) -> None:
        """Add a latency; ``mean`` is updated when the window is full."""
        self._sum += seconds
        self._count += 1
        if self._count == SAMPLES_PER_WINDOW:
            self.mean = self._sum / self._count
            self._sum, self._count = 0.0, 0


class InflationMeter:
    """Compares the latency of each worker with a baseline of the service.

    The baseline follows the faster workers down immediately, but rises by at most the
    factor ``MAX_BASELINE_RISE`` per computation, so that a slowdown of all workers is
    detected.
    """

    def __init__(self) -> None:
        self._window_by_pair: dict[WorkerService, LatencyWindow] = {}
        self._baseline_by_service: dict[str, float] = {}
        self._reported_by_pair: dict[WorkerService, float] = {}

    def record(self, worker: str, service: str, seconds: float) -> None:
        """Record the latency of a response."""
        pair = WorkerService(worker, service)
        window = self._window_by_pair.get(pair)
        if window is None:
            window = self._window_by_pair[pair] = LatencyWindow()
        window.record(seconds)

    def compute(self) -> dict[WorkerService, float]:
        """Update the baselines and return the inflation of each pair.

        Inflations are rounded to multiples of ``INFLATION_STEP``.
        """
        means_by_service: dict[str, list[float]] = {}
        for pair, window in self._window_by_pair.items():
            if window.mean is not None:
                means_by_service.setdefault(pair.service, []).append(window.mean)
        for service, means in means_by_service.items():
            self._baseline_by_service[service] = self._next_baseline(service, means)
        return {
            pair: _round_inflation(
                window.mean / self._baseline_by_service[pair.service]
            )
            for pair, window in self._window_by_pair.items()
            if window.mean is not None
        }

    def collect_changes(self) -> dict[WorkerService, float]:
        """Return the inflations that have changed since the last call."""
        inflation_by_pair = self.compute()
        changed = {
            pair: inflation
            for pair, inflation in inflation_by_pair.items()
            if self._reported_by_pair.get(pair) != inflation
        }
        self._reported_by_pair = inflation_by_pair
        return changed

    def retain_workers(self, workers: set[str]) -> None:
        """Delete the latencies of workers that are not in ``workers``."""
        for pair in [p for p in self._window_by_pair if p.worker not in workers]:
            del self._window_by_pair[pair]

    def _next_baseline(self, service: str, means: list[float]) -> float:
        fast_mean = means[0]
        if len(means) > 1:
            cuts = round(1 / BASELINE_QUANTILE)
            fast_mean = statistics.quantiles(means, n=cuts, method="inclusive")[0]
        previous = self._baseline_by_service.get(service, fast_mean)
        return min(fast_mean, previous * MAX_BASELINE_RISE)


def _round_inflation(inflation: float) -> float:
    return round(round(max(1.0, inflation) / INFLATION_STEP) * INFLATION_STEP, 6)
