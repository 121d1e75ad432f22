"""Random steps, durations and outcomes for the jobs of the soak tests."""

import random
from collections.abc import Callable

from savorydale.jobs.model import StepSpec
from standins.task_worker import CRASH, Plan

FAILURE_PROBABILITY = 0.03
CRASH_SECONDS = 0.01


def random_steps(rng: random.Random) -> list[StepSpec]:
    """Return random steps for one job."""
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


def make_plan(seed: int, deadly_probability: float = 0.0) -> Callable[[str, int], Plan]:
    """Return a function that plans runs; a seed always gives the same plans.

    ``deadly_probability`` is the share of tasks that crash each worker.
    """

    def plan(task: str, run: int) -> Plan:
        if random.Random(f"{seed}/{task}").random() < deadly_probability:
            return Plan(CRASH_SECONDS, CRASH)
        rng = random.Random(f"{seed}/{task}/{run}")
        outcome = "failed" if rng.random() < FAILURE_PROBABILITY else "done"
        return Plan(rng.uniform(0.1, 2.0), outcome)

    return plan
