"""How fast backfill works beside services, worker by worker and image by image.

Answers interference: only the images that slow a service down are slowed, as far as
the service's latency target asks for; if it stays over its target all the same, all
backfill on the worker is slowed.
"""

import dataclasses
import math
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.placement.interference import InterferenceModel, log_tail

FULL_PERCENT = 100
STEP_PERCENT = 10  # smaller changes of speed are not worth an order
GOAL_RATIO = 0.45  # of the latency target, since reports are rough and late
BRAKE_RATIO = 0.5
RELEASE_RATIO = 1.2
REPORT_SECONDS = 0.4  # reports that follow faster repeat the same figures
MIN_BRAKE = 0.08
BREACHES_BEFORE_BRAKE = 2
BREACHES_BEFORE_BRAKING_ALL = 4
SUSPECT_SLOPE = 1.0  # below, an image is not blamed for a breach
SMOOTHING = 0.25  # weight of the newest report in a service's base latency
SHARE_SMOOTHING = 0.5  # weight of the newest report in what an image used
LEAST_SHARE = 0.001
MIN_SLOPE = 2.5  # below, backfill of an image is not slowed for a service
EPSILON = 1e-9
ROUNDING = 1e-6


class ServiceUse(NamedTuple):
    """One service task on a worker, and its tail latency of the last moments."""

    task: str
    image: str
    tail_ms: float
    target_ms: float


class ServiceBudget(NamedTuple):
    """How much backfill may add to the logarithm of one service's tail latency."""

    image: str
    budget: float


class BackfillUse(NamedTuple):
    """Backfill of one image on a worker, in shares of the worker's processors.

    ``demand`` is what its tasks would use at full speed, ``used`` what they use now.
    """

    image: str
    demand: float
    used: float


@dataclasses.dataclass(slots=True)
class ServiceRecord:
    """What pacing remembers of one service task.

    ``base`` is the logarithm of its tail latency without backfill; ``breaches`` counts
    the reports in a row that show it over its target.
    """

    base: float
    breaches: int = 0


@dataclasses.dataclass(slots=True)
class WorkerPace:
    """What pacing remembers of one worker."""

    record_by_task: dict[str, ServiceRecord] = dataclasses.field(default_factory=dict)
    brake_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    share_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_at: float = -math.inf

    def observe(
        self,
        model: InterferenceModel,
        services: Sequence[ServiceUse],
        backfill: Sequence[BackfillUse],
        now: float,
    ) -> bool:
        """Take in one report of a worker; return whether it is a new one."""
        if now - self.observed_at < REPORT_SECONDS:
            return False
        self.observed_at = now
        self._smooth_shares(backfill)
        records: dict[str, ServiceRecord] = {}
        braked: set[str] = set()
        for service in services:
            record = self._observe_service(model, service)
            records[service.task] = record
            braked |= _images_to_brake(model, service, backfill, record.breaches)
        self.record_by_task = records
        self.brake_by_image = {
            use.image: self._next_brake(use.image, use.image in braked)
            for use in backfill
        }
        return True

    def _smooth_shares(self, backfill: Sequence[BackfillUse]) -> None:
        """Average what each image used as slowly as tail latencies are averaged."""
        used = {use.image: use.used for use in backfill}
        for image in used.keys() | self.share_by_image.keys():
            share = self.share_by_image.get(image, 0.0)
            share += SHARE_SMOOTHING * (used.get(image, 0.0) - share)
            self.share_by_image[image] = share
            if image not in used and share < LEAST_SHARE:
                del self.share_by_image[image]

    def _observe_service(
        self, model: InterferenceModel, service: ServiceUse
    ) -> ServiceRecord:
        model.observe(service.image, self.share_by_image, service.tail_ms)
        added = sum(
            model.slope(service.image, image) * share
            for image, share in self.share_by_image.items()
        )
        base = log_tail(min(service.tail_ms, service.target_ms)) - added
        record = self.record_by_task.get(service.task)
        if record is None:
            record = ServiceRecord(base)
        record.base += SMOOTHING * (base - record.base)
        is_over = service.tail_ms >= service.target_ms
        record.breaches = record.breaches + 1 if is_over else 0
        return record

    def _next_brake(self, image: str, is_braked: bool) -> float:
        brake = self.brake_by_image.get(image, 1.0)
        if not is_braked:
            return min(1.0, max(MIN_BRAKE, brake) * RELEASE_RATIO)
        brake *= BRAKE_RATIO
        return brake if brake >= MIN_BRAKE else 0.0

    def budget(self, model: InterferenceModel, service: ServiceUse) -> float:
        """Return how much backfill may add to the logarithm of a service's tail."""
        typical = model.intercept(service.image)
        record = self.record_by_task.get(service.task)
        base = (record.base + typical) / 2 if record else typical
        return max(0.0, log_tail(GOAL_RATIO * service.target_ms) - base)

    @property
    def has_breach(self) -> bool:
        """Return whether a service was over its target in the last report."""
        return any(record.breaches for record in self.record_by_task.values())

    def budgets(
        self, model: InterferenceModel, services: Sequence[ServiceUse]
    ) -> list[ServiceBudget]:
        """Return how much backfill may slow each service down."""
        return [
            ServiceBudget(service.image, self.budget(model, service))
            for service in services
        ]

    def allowed_shares(
        self,
        model: InterferenceModel,
        budgets: Sequence[ServiceBudget],
        backfill: Sequence[BackfillUse],
    ) -> dict[str, float]:
        """Return which share of the worker backfill of each image may use."""
        share_by_image = {use.image: use.demand for use in backfill}
        for image, budget in budgets:
            # The images that disturb least for the processors they use come first.
            for slope, use in _pressing(model, image, backfill, MIN_SLOPE):
                share = min(share_by_image[use.image], budget / slope)
                share_by_image[use.image] = share
                budget = max(0.0, budget - slope * share)
        return {
            image: share * self.brake_by_image.get(image, 1.0)
            for image, share in share_by_image.items()
        }

    def allowed_share(
        self,
        model: InterferenceModel,
        budgets: Sequence[ServiceBudget],
        others: Sequence[BackfillUse],
        image: str,
    ) -> float:
        """Return which share backfill of one image may use beside ``others``.

        The same as `allowed_shares` if the image asks for the whole worker; mostly a
        look at the services is enough.
        """
        pressed = [
            service.budget
            for service in budgets
            if model.slope(service.image, image) >= MIN_SLOPE
        ]
        if not pressed:
            return self.brake_by_image.get(image, 1.0)
        if min(pressed) <= 0:
            return 0.0
        asked = BackfillUse(image, 1.0, 0.0)
        return self.allowed_shares(model, budgets, [*others, asked])[image]


def _pressing(
    model: InterferenceModel,
    service_image: str,
    backfill: Sequence[BackfillUse],
    min_slope: float,
) -> list[tuple[float, BackfillUse]]:
    """Return the images that slow a service down, and by how much, least first."""
    pairs = [(model.slope(service_image, use.image), use) for use in backfill]
    return sorted(pair for pair in pairs if pair[0] >= min_slope)


def _images_to_brake(
    model: InterferenceModel,
    service: ServiceUse,
    backfill: Sequence[BackfillUse],
    breaches: int,
) -> set[str]:
    """Return which images must slow down because a service is over its target.

    Those known to slow it down go first; after a while all do, since what is known may
    be wrong.
    """
    if breaches >= BREACHES_BEFORE_BRAKING_ALL:
        return {use.image for use in backfill}
    if breaches >= BREACHES_BEFORE_BRAKE:
        suspects = _pressing(model, service.image, backfill, SUSPECT_SLOPE)
        return {use.image for _, use in suspects}
    return set()


def split_share(share: float, demands: Sequence[float]) -> list[int]:
    """Return the speed of each task, in percent, that together use ``share``.

    The first tasks get all that they ask for, so that they end soon, rather than all
    tasks a little.
    """
    percents = []
    for demand in demands:
        speed = min(1.0, share / (demand + EPSILON))
        percents.append(to_percent(speed))
        share = max(0.0, share - demand)
    return percents


def to_percent(speed: float) -> int:
    """Return a speed in the steps in which it is ordered."""
    steps = int(max(0.0, min(1.0, speed)) * FULL_PERCENT / STEP_PERCENT + ROUNDING)
    return steps * STEP_PERCENT
