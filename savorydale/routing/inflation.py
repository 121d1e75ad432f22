"""How much slower each worker answers a service than the service's best workers do."""

import statistics
from typing import NamedTuple

SAMPLES_PER_WINDOW = 100
BASELINE_QUANTILE = 0.2
BASELINE_RISE = 1.0005
STEP = 0.05


class WorkerService(NamedTuple):
    """A service on one worker."""

    worker: str
    service: str


class LatencyWindow:
    """Latencies of one service on one worker, in seconds."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0
        self.mean: float | None = None

    def record(self, seconds: float) -> None:
        """Add a latency; the mean is that of the last full window."""
        self._sum += seconds
        self._count += 1
        if self._count == SAMPLES_PER_WINDOW:
            self.mean = self._sum / self._count
            self._sum, self._count = 0.0, 0


class InflationMeter:
    """Compares each worker's latency with the lowest that the service is known for.

    The baseline of a service follows its faster workers down at once and up by at
    most ``BASELINE_RISE`` a review, so that a wave that slows all of them shows.
    """

    def __init__(self) -> None:
        self._window_by_pair: dict[WorkerService, LatencyWindow] = {}
        self._baseline_by_service: dict[str, float] = {}
        self._told_by_pair: dict[WorkerService, float] = {}

    def record(self, worker: str, service: str, seconds: float) -> None:
        """Take note of an answer."""
        pair = WorkerService(worker, service)
        window = self._window_by_pair.get(pair)
        if window is None:
            window = self._window_by_pair[pair] = LatencyWindow()
        window.record(seconds)

    def compute(self) -> dict[WorkerService, float]:
        """Return the inflation of each pair, in steps of ``STEP``."""
        means_by_service: dict[str, list[float]] = {}
        for pair, window in self._window_by_pair.items():
            if window.mean is not None:
                means_by_service.setdefault(pair.service, []).append(window.mean)
        for service, means in means_by_service.items():
            self._baseline_by_service[service] = self._baseline(service, means)
        return {
            pair: _round(window.mean / self._baseline_by_service[pair.service])
            for pair, window in self._window_by_pair.items()
            if window.mean is not None
        }

    def collect_changes(self) -> dict[WorkerService, float]:
        """Return the inflations that have changed since they were last returned."""
        inflation_by_pair = self.compute()
        changed = {
            pair: inflation
            for pair, inflation in inflation_by_pair.items()
            if self._told_by_pair.get(pair) != inflation
        }
        self._told_by_pair = inflation_by_pair
        return changed

    def retain_workers(self, workers: set[str]) -> None:
        """Forget workers that are no more."""
        for pair in [p for p in self._window_by_pair if p.worker not in workers]:
            del self._window_by_pair[pair]

    def _baseline(self, service: str, means: list[float]) -> float:
        low = means[0]
        if len(means) > 1:
            cuts = round(1 / BASELINE_QUANTILE)
            low = statistics.quantiles(means, n=cuts, method="inclusive")[0]
        known = self._baseline_by_service.get(service, low)
        return min(low, known * BASELINE_RISE)


def _round(inflation: float) -> float:
    return round(round(max(1.0, inflation) / STEP) * STEP, 6)
