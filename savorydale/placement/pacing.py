"""How fast backfill works beside services, worker by worker and image by image.

Answers interference: only the images that slow a service down are slowed, as far as
the service's latency target asks for; if it stays over its target all the same, all
backfill on the worker is slowed.
"""

import dataclasses
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.placement.interference import InterferenceModel

FULL_PERCENT = 100
STEP_PERCENT = 10  # smaller changes of speed are not worth an order
GOAL_RATIO = 0.8  # of the latency target, since reports are rough and late
BREACH_RATIO = 1.0
BRAKE_RATIO = 0.5
RELEASE_RATIO = 1.5
MIN_BRAKE = 0.08
BREACHES_BEFORE_BRAKE = 2
SMOOTHING = 0.4  # weight of the newest report in a service's base latency
MIN_CONTRIBUTION_RATIO = 0.03  # of the target; below, an image is not slowed
EPSILON = 1e-9


class ServiceUse(NamedTuple):
    """One service task on a worker, and its tail latency of the last moments."""

    task: str
    image: str
    tail_ms: float
    target_ms: float


class BackfillUse(NamedTuple):
    """Backfill of one image on a worker, in shares of the worker's processors.

    ``demand`` is what its tasks would use at full speed, ``used`` what they use now.
    """

    image: str
    demand: float
    used: float


@dataclasses.dataclass(slots=True)
class WorkerPace:
    """What pacing remembers of one worker."""

    base_by_task: dict[str, float] = dataclasses.field(default_factory=dict)
    breaches: int = 0
    brake: float = 1.0
    pressure: float = 0.0

    def observe(
        self,
        model: InterferenceModel,
        services: Sequence[ServiceUse],
        backfill: Sequence[BackfillUse],
    ) -> None:
        """Take in one report of a worker."""
        bases: dict[str, float] = {}
        for service in services:
            added = sum(
                model.slope_ms(service.image, use.image) * use.used for use in backfill
            )
            base = max(0.0, service.tail_ms - added)
            known = self.base_by_task.get(service.task, base)
            bases[service.task] = known + SMOOTHING * (base - known)
        self.base_by_task = bases
        self.pressure = max(
            (service.tail_ms / service.target_ms for service in services), default=0.0
        )
        self._adapt_brake()

    def _adapt_brake(self) -> None:
        if self.pressure >= BREACH_RATIO:
            self.breaches += 1
            if self.breaches >= BREACHES_BEFORE_BRAKE:
                self.brake *= BRAKE_RATIO
            if self.brake < MIN_BRAKE:
                self.brake = 0.0
            return
        self.breaches = 0
        self.brake = min(1.0, max(MIN_BRAKE, self.brake) * RELEASE_RATIO)

    def budget_ms(self, model: InterferenceModel, service: ServiceUse) -> float:
        """Return how much latency backfill may add to a service."""
        base = self.base_by_task.get(service.task, model.base_ms(service.image))
        return max(0.0, GOAL_RATIO * service.target_ms - base)

    def speeds(
        self,
        model: InterferenceModel,
        services: Sequence[ServiceUse],
        backfill: Sequence[BackfillUse],
    ) -> dict[str, float]:
        """Return the speed of each backfill image, from 0 to 1."""
        speed_by_image = {use.image: 1.0 for use in backfill}
        for service in services:
            added_by_image = {
                use.image: model.slope_ms(service.image, use.image) * use.demand
                for use in backfill
            }
            least = MIN_CONTRIBUTION_RATIO * service.target_ms
            pressing = {
                image: added for image, added in added_by_image.items() if added > least
            }
            if not pressing:
                continue
            ratio = self.budget_ms(model, service) / (sum(pressing.values()) + EPSILON)
            for image in pressing:
                speed_by_image[image] = min(speed_by_image[image], ratio)
        return {image: speed * self.brake for image, speed in speed_by_image.items()}


def to_percent(speed: float) -> int:
    """Return a speed in the steps in which it is ordered."""
    steps = int(max(0.0, min(1.0, speed)) * FULL_PERCENT / STEP_PERCENT + EPSILON)
    return steps * STEP_PERCENT
