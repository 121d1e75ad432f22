"""Throttle backfill beside services, per worker and image.

Only the images that inflate the latency of a service are throttled, as far as its
latency target requires. If the service still exceeds its target, all backfill on the
worker is throttled.
"""

import dataclasses
import math
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.placement.interference import InterferenceModel, log_tail

FULL_SPEED_PERCENT = 100
SPEED_STEP_PERCENT = 10  # smaller changes of speed do not justify a throttle order
GOAL_RATIO = 0.45  # of the latency target, as a margin for imprecise and late reports
BACKOFF_RATIO = 0.5  # of the backoff factor of a suspect image, per report
RECOVERY_RATIO = 1.2  # of the backoff factor of any other image, per report
MIN_REPORT_INTERVAL_SECONDS = 0.4  # sooner, reports repeat the same values
MIN_BACKOFF_FACTOR = 0.08  # below, the factor is zero
BREACHES_BEFORE_BACKOFF = 2
BREACHES_BEFORE_BACKOFF_OF_ALL = 4
MIN_SUSPECT_SLOPE = 1.0  # below, a breach is not attributed to an image
BASELINE_SMOOTHING = 0.25  # weight of the newest report in a service's baseline
SHARE_SMOOTHING = 0.5  # weight of the newest report in the CPU share of an image
MIN_SHARE = 0.001  # below, an image that no longer runs is dropped
MIN_THROTTLING_SLOPE = 2.5  # below, an image is not throttled for a service
EPSILON = 1e-9  # avoids a division by zero
ROUNDING_TOLERANCE = 1e-6


class ServiceSample(NamedTuple):
    """The recent tail latency of one service replica on a worker, and its target."""

    task: str
    image: str
    tail_ms: float
    target_ms: float


class ServiceBudget(NamedTuple):
    """How much backfill may add to the log tail latency of one service."""

    image: str
    budget: float


class BackfillUsage(NamedTuple):
    """Backfill of one image on a worker, in shares of the worker's CPU.

    ``demand`` is what its tasks would use at full speed, ``used`` what they use now.
    """

    image: str
    demand: float
    used: float


@dataclasses.dataclass(slots=True)
class ServiceRecord:
    """Throttling state of one service replica.

    ``baseline`` is the log tail latency without backfill. ``breaches`` counts the
    consecutive reports in which the latency reached the target.
    """

    baseline: float
    breaches: int = 0


@dataclasses.dataclass(slots=True)
class WorkerThrottle:
    """Throttling state of one worker.

    ``backoff_factor_by_image`` multiplies the allowed shares: it falls while an image
    is suspected of a breach of a latency target, and recovers afterwards.
    """

    record_by_task: dict[str, ServiceRecord] = dataclasses.field(default_factory=dict)
    backoff_factor_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    share_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_at: float = -math.inf

    def observe(
        self,
        model: InterferenceModel,
        services: Sequence[ServiceSample],
        backfill: Sequence[BackfillUsage],
        now: float,
    ) -> bool:
        """Process a report of a worker; return whether it has new values."""
        if now - self.observed_at < MIN_REPORT_INTERVAL_SECONDS:
            return False
        self.observed_at = now
        self._smooth_shares(backfill)
        records: dict[str, ServiceRecord] = {}
        suspect_images: set[str] = set()
        for service in services:
            record = self._observe_service(model, service)
            records[service.task] = record
            suspect_images |= _find_suspect_images(
                model, service, backfill, record.breaches
            )
        self.record_by_task = records
        self.backoff_factor_by_image = {
            use.image: self._next_backoff_factor(use.image, use.image in suspect_images)
            for use in backfill
        }
        return True

    def _smooth_shares(self, backfill: Sequence[BackfillUsage]) -> None:
        """Smooth the CPU shares as much as the reported tail latencies are smoothed."""
        used = {use.image: use.used for use in backfill}
        for image in used.keys() | self.share_by_image.keys():
            share = self.share_by_image.get(image, 0.0)
            share += SHARE_SMOOTHING * (used.get(image, 0.0) - share)
            self.share_by_image[image] = share
            if image not in used and share < MIN_SHARE:
                del self.share_by_image[image]

    def _observe_service(
        self, model: InterferenceModel, service: ServiceSample
    ) -> ServiceRecord:
        model.observe(service.image, self.share_by_image, service.tail_ms)
        added = sum(
            model.slope(service.image, image) * share
            for image, share in self.share_by_image.items()
        )
        baseline = log_tail(min(service.tail_ms, service.target_ms)) - added
        record = self.record_by_task.get(service.task)
        if record is None:
            record = ServiceRecord(baseline)
        record.baseline += BASELINE_SMOOTHING * (baseline - record.baseline)
        is_over = service.tail_ms >= service.target_ms
        record.breaches = record.breaches + 1 if is_over else 0
        return record

    def _next_backoff_factor(self, image: str, is_suspect: bool) -> float:
        factor = self.backoff_factor_by_image.get(image, 1.0)
        if not is_suspect:
            return min(1.0, max(MIN_BACKOFF_FACTOR, factor) * RECOVERY_RATIO)
        factor *= BACKOFF_RATIO
        return factor if factor >= MIN_BACKOFF_FACTOR else 0.0

    def budget(self, model: InterferenceModel, service: ServiceSample) -> float:
        """Return how much backfill may add to the log tail latency of a service."""
        expected = model.intercept(service.image)
        record = self.record_by_task.get(service.task)
        baseline = (record.baseline + expected) / 2 if record else expected
        return max(0.0, log_tail(GOAL_RATIO * service.target_ms) - baseline)

    @property
    def has_breach(self) -> bool:
        """Return whether a service reached its target in the last report."""
        return any(record.breaches for record in self.record_by_task.values())

    def budgets(
        self, model: InterferenceModel, services: Sequence[ServiceSample]
    ) -> list[ServiceBudget]:
        """Return how much backfill may add to the log tail latency of each service."""
        return [
            ServiceBudget(service.image, self.budget(model, service))
            for service in services
        ]

    def allowed_shares(
        self,
        model: InterferenceModel,
        budgets: Sequence[ServiceBudget],
        backfill: Sequence[BackfillUsage],
    ) -> dict[str, float]:
        """Return the share of the worker's CPU that backfill of each image may use."""
        share_by_image = {use.image: use.demand for use in backfill}
        for image, budget in budgets:
            # Images that interfere least for the CPU they use are served first.
            for slope, use in _interfering_usage(
                model, image, backfill, MIN_THROTTLING_SLOPE
            ):
                share = min(share_by_image[use.image], budget / slope)
                share_by_image[use.image] = share
                budget = max(0.0, budget - slope * share)
        return {
            image: share * self.backoff_factor_by_image.get(image, 1.0)
            for image, share in share_by_image.items()
        }

    def allowed_share(
        self,
        model: InterferenceModel,
        budgets: Sequence[ServiceBudget],
        others: Sequence[BackfillUsage],
        image: str,
    ) -> float:
        """Return the share that backfill of one image may use beside ``others``.

        Equals the result of `allowed_shares` if the image demands the whole worker,
        but mostly needs to check only the services.
        """
        affected_budgets = [
            service.budget
            for service in budgets
            if model.slope(service.image, image) >= MIN_THROTTLING_SLOPE
        ]
        if not affected_budgets:
            return self.backoff_factor_by_image.get(image, 1.0)
        if min(affected_budgets) <= 0:
            return 0.0
        usage = BackfillUsage(image, 1.0, 0.0)
        return self.allowed_shares(model, budgets, [*others, usage])[image]


def _interfering_usage(
    model: InterferenceModel,
    service_image: str,
    backfill: Sequence[BackfillUsage],
    min_slope: float,
) -> list[tuple[float, BackfillUsage]]:
    """Return the usage of images that inflate a service's latency, by rising slope."""
    pairs = [(model.slope(service_image, use.image), use) for use in backfill]
    return sorted(pair for pair in pairs if pair[0] >= min_slope)


def _find_suspect_images(
    model: InterferenceModel,
    service: ServiceSample,
    backfill: Sequence[BackfillUsage],
    breaches: int,
) -> set[str]:
    """Return the images to throttle because a service exceeds its target.

    At first these are the images with a high slope; after more breaches all images,
    since the slopes may be wrong.
    """
    if breaches >= BREACHES_BEFORE_BACKOFF_OF_ALL:
        return {use.image for use in backfill}
    if breaches >= BREACHES_BEFORE_BACKOFF:
        suspects = _interfering_usage(model, service.image, backfill, MIN_SUSPECT_SLOPE)
        return {use.image for _, use in suspects}
    return set()


def split_share(share: float, demands: Sequence[float]) -> list[int]:
    """Return the speed of each task, in percent, so that all together use ``share``.

    The first tasks get their full demand, so that they end soon; the share is not
    divided evenly.
    """
    percents = []
    for demand in demands:
        speed = min(1.0, share / (demand + EPSILON))
        percents.append(to_percent(speed))
        share = max(0.0, share - demand)
    return percents


def to_percent(speed: float) -> int:
    """Return a speed in percent, rounded down to the steps of throttle orders."""
    steps = int(
        max(0.0, min(1.0, speed)) * FULL_SPEED_PERCENT / SPEED_STEP_PERCENT
        + ROUNDING_TOLERANCE
    )
    return steps * SPEED_STEP_PERCENT
