"""How fast backfill works beside services, worker by worker.

Answers interference: when a service's tail latency goes over its target, backfill on
its worker is slowed at once; when there is room again, it speeds up step by step.
"""

import dataclasses

SLOW_DOWN_RATIO = 0.5  # share of the speed that is kept after each breach
SPEED_UP_PERCENT = 20
FULL_PERCENT = 100
MIN_PERCENT = 0
STOP_BELOW_PERCENT = 10
BREACH_RATIO = 0.95  # of the target: the figures are rough
ROOM_RATIO = 0.75


@dataclasses.dataclass(slots=True)
class BackfillPace:
    """Speed of backfill on one worker, and the pressure that decided it."""

    percent: float = FULL_PERCENT
    pressure: float = 0.0

    def update(self, pressure: float) -> int:
        """Take in the worst ratio of tail latency to target; return the new speed."""
        self.pressure = pressure
        if pressure >= BREACH_RATIO:
            slowed = self.percent * SLOW_DOWN_RATIO
            self.percent = slowed if slowed >= STOP_BELOW_PERCENT else MIN_PERCENT
        elif pressure < ROOM_RATIO:
            self.percent = min(FULL_PERCENT, self.percent + SPEED_UP_PERCENT)
        return int(self.percent)
