"""Counters and latency histograms of one process."""

import collections
import threading
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000


class LatencySummary(TypedDict):
    """Percentiles of one latency, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Snapshot(NamedTuple):
    """Values of all counters and latencies at one point in time."""

    count_by_name: dict[str, int]
    latency_by_name: dict[str, LatencySummary]


class Counters:
    """Thread-safe counters and latency histograms by name."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._histogram_by_name: dict[str, HdrHistogram] = {}

    def increment(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        with self._lock:
            self._count_by_name[name] += amount

    def record_latency(self, name: str, seconds: float) -> None:
        """Add one latency to the histogram ``name``."""
        microseconds = max(LOWEST_LATENCY_US, int(seconds * MICROSECONDS_PER_SECOND))
        with self._lock:
            histogram = self._histogram_by_name.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._histogram_by_name[name] = histogram
            histogram.record_value(min(microseconds, HIGHEST_LATENCY_US))

    def count(self, name: str) -> int:
        """Return the value of the counter ``name``."""
        with self._lock:
            return self._count_by_name[name]

    def snapshot(self) -> Snapshot:
        """Return a copy of all counters and the percentiles of all latencies."""
        with self._lock:
            counts = dict(sorted(self._count_by_name.items()))
            latencies = {
                name: _summarize(histogram)
                for name, histogram in sorted(self._histogram_by_name.items())
            }
        return Snapshot(counts, latencies)


def _summarize(histogram: HdrHistogram) -> LatencySummary:
    def percentile_ms(percentile: float) -> float:
        microseconds = histogram.get_value_at_percentile(percentile)
        return microseconds / MICROSECONDS_PER_MILLISECOND

    return LatencySummary(
        count=histogram.get_total_count(),
        p50_ms=percentile_ms(50),
        p99_ms=percentile_ms(99),
        p999_ms=percentile_ms(99.9),
        max_ms=percentile_ms(100),
    )
