"""Jobs of the random runs: their steps, and how their runs go."""

import random
from collections.abc import Callable

from savorydale.jobs.model import StepSpec
from standins.task_worker import Plan

FAILED_RATIO = 0.03


def random_steps(rng: random.Random) -> list[StepSpec]:
    """Return the steps of one job."""
    steps = []
    for number in range(rng.randint(1, 3)):
        after = (rng.randrange(number),) if number and rng.random() < 0.7 else ()
        steps.append(
            StepSpec(
                rng.randint(1, 4),
                rng.choice((500, 1000, 3000)),
                rng.choice((100, 1000)),
                estimate_ms=500,
                after=after,
                checkpointing=rng.random() < 0.5,
            )
        )
    return steps


def make_plan(seed: int) -> Callable[[str, int], Plan]:
    """Return how long runs take and how they end, the same for each seed."""

    def plan(task: str, run: int) -> Plan:
        rng = random.Random(f"{seed}/{task}/{run}")
        outcome = "failed" if rng.random() < FAILED_RATIO else "done"
        return Plan(rng.uniform(0.1, 2.0), outcome)

    return plan
