"""Plays more backfill than a fleet can do, with the real order and a pool of cores.

Workers, services and orders are left out: what is left is which tasks get the
processors that become free.
"""

import heapq
import math
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from savorydale.jobs.ledger import JobProgress, Ledger, StepProgress, Task
from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.queueing.order import (
    USELESS_AFTER_OBJECTIVES,
    objective_seconds,
    rank_step,
)

QUEUE = QueueSettings("q", "h", "/q/", "desk", 2, 4, 2.0, 1000.0)
ROUND_SECONDS = 0.1
DRAIN_SECONDS = 25.0
POOLS = 8  # images of backfill disturb other services, so they find other workers
MEAN_CORE_SECONDS = 2 * 20 * 1.7 * 1.8

Rank = Callable[[StepProgress, float], Any]


class Outcome(NamedTuple):
    """One job: its work, and in which of its objectives it ended; ``None`` if never."""

    core_seconds: float
    objectives: float | None

    @property
    def is_on_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return self.objectives is not None and self.objectives <= 1

    @property
    def is_served(self) -> bool:
        """Return whether the job ended while it was still of use."""
        return (
            self.objectives is not None and self.objectives <= USELESS_AFTER_OBJECTIVES
        )


def random_spec(rng: random.Random) -> JobSpec:
    """Return a job of up to five steps, one after the other."""
    count = round(_spread(rng, 2.0, 0.4, 5.0))
    steps = [
        StepSpec(
            task_count=round(_spread(rng, 20.0, 0.6, 80.0)),
            cpu_millicores=int(_spread(rng, 1800.0, 0.3, 3500.0)),
            estimate_ms=int(_spread(rng, 1700.0, 0.5, 4300.0)),
            after=(number - 1,) if number else (),
            checkpointing=True,
            image="a",
            backfill=True,
        )
        for number in range(count)
    ]
    return JobSpec("", tuple(steps))


def _spread(rng: random.Random, mean: float, spread: float, most: float) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(most, max(1.0, value))


def play(
    load: float, cores: float, seconds: float, seed: int, rank: Rank = rank_step
) -> list[Outcome]:
    """Return how the jobs of a day fared that brings ``load`` times what fits."""
    rng = random.Random(f"work/{seed}")
    arrivals = _arrivals(random.Random(seed), load * cores / MEAN_CORE_SECONDS, seconds)
    arriving_at, spec = next(arrivals)
    ledger = Ledger()
    jobs: list[JobProgress] = []
    outcomes: dict[str, Outcome] = {}
    ending: list[tuple[float, Task]] = []
    free_by_pool = dict.fromkeys(range(POOLS), cores * 1000 / POOLS)
    for number in range(int((seconds + DRAIN_SECONDS) / ROUND_SECONDS)):
        now = number * ROUND_SECONDS
        while ending and ending[0][0] <= now:
            ended_at, task = heapq.heappop(ending)
            job = jobs[int(task.id.job)]
            step = job.steps_of(0)[task.id.step]
            free_by_pool[_pool_of(job.id)] += step.spec.cpu_millicores
            task.worker = ""
            step.mark_done(task)
            if job.is_complete:
                age = ended_at - job.seen_at
                outcomes[job.id] = Outcome(
                    job.row.spec.core_seconds, age / objective_seconds(job)
                )
        while arriving_at <= now:
            row = JobRow(spec, QUEUE, 0)
            name = str(len(jobs))
            jobs.append(ledger.add(name, row, JobStatus.QUEUED, arriving_at))
            arriving_at, spec = next(arrivals, (math.inf, spec))
        for step, task in _in_order(jobs, outcomes, now, rank):
            pool = _pool_of(task.id.job)
            if step.spec.cpu_millicores > free_by_pool[pool]:
                continue
            free_by_pool[pool] -= step.spec.cpu_millicores
            ledger.assign(step, task, "w")
            work = step.spec.estimate_ms / 1000 * rng.uniform(0.8, 1.2)
            heapq.heappush(ending, (now + work, task))
    nothing = [Outcome(job.row.spec.core_seconds, None) for job in jobs]
    return [
        outcomes.get(job.id, other) for job, other in zip(jobs, nothing, strict=True)
    ]


def _pool_of(job: str) -> int:
    return int(job) % POOLS


def _arrivals(
    rng: random.Random, per_second: float, seconds: float
) -> Iterator[tuple[float, JobSpec]]:
    at = rng.expovariate(per_second)
    while at < seconds:
        yield at, random_spec(rng)
        at += rng.expovariate(per_second)


def _in_order(
    jobs: list[JobProgress], outcomes: dict[str, Outcome], now: float, rank: Rank
) -> Iterator[tuple[StepProgress, Task]]:
    steps = [
        step
        for job in jobs
        if job.id not in outcomes
        for step in job.ready_steps(0)
        if step.waiting_tasks()
    ]
    steps.sort(key=lambda step: rank(step, now))
    for step in steps:
        for task in step.waiting_tasks():
            yield step, task


def largest(outcomes: list[Outcome], first: float, last: float) -> list[Outcome]:
    """Return the jobs from one quantile of their work to another."""
    in_order = sorted(outcomes, key=lambda outcome: outcome.core_seconds)
    return in_order[int(first * len(in_order)) : int(last * len(in_order))]


def served_ratio(outcomes: list[Outcome]) -> float:
    """Return the share of jobs that ended while they were still of use."""
    return sum(outcome.is_served for outcome in outcomes) / len(outcomes)


def on_time_ratio(outcomes: list[Outcome]) -> float:
    """Return the share of jobs that ended within their objective."""
    return sum(outcome.is_on_time for outcome in outcomes) / len(outcomes)
