"""Simulates more backfill than a fleet can run, with the real ranking of steps.

Pools of cores stand for the workers. Services and start orders are not simulated, only
which tasks get the cores that become free.
"""

import heapq
import math
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.progress import JobProgress, StepProgress, Task
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.jobs.tracker import JobTracker
from savorydale.queueing.order import (
    CUTOFF_OBJECTIVES,
    objective_seconds,
    rank_step,
)

QUEUE = QueueSettings("q", "h", "/q/", "desk", 2, 4, 2.0, 1000.0)
TICK_SECONDS = 0.1
DRAIN_SECONDS = 25.0  # simulated after the last arrival, for jobs to end
# Backfill images slow different services, so they run on different workers.
POOL_COUNT = 8
MILLICORES_PER_CORE = 1000
MILLISECONDS_PER_SECOND = 1000
# Product of the means in `random_spec`: steps, tasks, seconds and cores.
MEAN_CORE_SECONDS = 2 * 20 * 1.7 * 1.8

Rank = Callable[[StepProgress, float], Any]


class Outcome(NamedTuple):
    """Work of one job, and its duration in multiples of its objective.

    ``objectives`` is ``None`` if the job did not end.
    """

    core_seconds: float
    objectives: float | None

    @property
    def is_on_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return self.objectives is not None and self.objectives <= 1

    @property
    def is_served(self) -> bool:
        """Return whether the job ended before its cutoff."""
        return self.objectives is not None and self.objectives <= CUTOFF_OBJECTIVES


def random_spec(rng: random.Random) -> JobSpec:
    """Return a job of up to five steps, one after the other."""
    count = round(_bounded_lognormal(rng, 2.0, 0.4, 5.0))
    steps = [
        StepSpec(
            task_count=round(_bounded_lognormal(rng, 20.0, 0.6, 80.0)),
            cpu_millicores=int(_bounded_lognormal(rng, 1800.0, 0.3, 3500.0)),
            estimate_ms=int(_bounded_lognormal(rng, 1700.0, 0.5, 4300.0)),
            after=(number - 1,) if number else (),
            checkpointing=True,
            image="a",
            backfill=True,
        )
        for number in range(count)
    ]
    return JobSpec("", tuple(steps))


def _bounded_lognormal(
    rng: random.Random, mean: float, relative_deviation: float, maximum: float
) -> float:
    sigma = math.sqrt(math.log(1 + relative_deviation * relative_deviation))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(maximum, max(1.0, value))


class OverloadSimulation:
    """Jobs that arrive, wait, run in pools of cores, and end."""

    def __init__(self, cores: float, seed: int, rank: Rank):
        self.job_by_id: dict[str, JobProgress] = {}
        self.ended_at_by_job: dict[str, float] = {}
        self._rank = rank
        self._rng = random.Random(f"work/{seed}")
        self._job_tracker = JobTracker()
        self._running_by_end: list[tuple[float, Task]] = []
        self._free_by_pool = dict.fromkeys(
            range(POOL_COUNT), cores * MILLICORES_PER_CORE / POOL_COUNT
        )

    def submit(self, spec: JobSpec, now: float) -> None:
        """Add a job; its number serves as its identifier."""
        name = str(len(self.job_by_id))
        row = JobRow(spec, QUEUE, 0)
        self.job_by_id[name] = self._job_tracker.add(name, row, JobStatus.QUEUED, now)

    def end_tasks(self, now: float) -> None:
        """End the tasks whose run time is over."""
        while self._running_by_end and self._running_by_end[0][0] <= now:
            ended_at, task = heapq.heappop(self._running_by_end)
            job = self.job_by_id[task.id.job]
            step = job.steps_of(0)[task.id.step]
            self._free_by_pool[_pool_of(job.id)] += step.spec.cpu_millicores
            task.worker = ""
            step.mark_done(task)
            if job.is_complete:
                self.ended_at_by_job[job.id] = ended_at

    def start_tasks(self, now: float) -> None:
        """Start the waiting tasks that fit, in the order of their rank."""
        for step, task in self._waiting_in_order(now):
            pool = _pool_of(task.id.job)
            if step.spec.cpu_millicores > self._free_by_pool[pool]:
                continue
            self._free_by_pool[pool] -= step.spec.cpu_millicores
            self._job_tracker.assign(step, task, "w")
            run_seconds = (
                step.spec.estimate_ms
                / MILLISECONDS_PER_SECOND
                * self._rng.uniform(0.8, 1.2)
            )
            heapq.heappush(self._running_by_end, (now + run_seconds, task))

    def _waiting_in_order(self, now: float) -> Iterator[tuple[StepProgress, Task]]:
        steps = [
            step
            for job in self.job_by_id.values()
            if job.id not in self.ended_at_by_job
            for step in job.ready_steps(0, 1)
            if step.waiting_tasks()
        ]
        steps.sort(key=lambda step: self._rank(step, now))
        for step in steps:
            for task in step.waiting_tasks():
                yield step, task

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of all jobs, in the order of their arrival."""
        return [self._outcome_of(job) for job in self.job_by_id.values()]

    def _outcome_of(self, job: JobProgress) -> Outcome:
        ended_at = self.ended_at_by_job.get(job.id)
        objectives = None
        if ended_at is not None:
            objectives = (ended_at - job.added_at) / objective_seconds(job)
        return Outcome(job.row.spec.core_seconds, objectives)


def simulate(
    load: float, cores: float, seconds: float, seed: int, rank: Rank = rank_step
) -> list[Outcome]:
    """Return the outcomes of jobs that arrive at ``load`` times the capacity."""
    simulation = OverloadSimulation(cores, seed, rank)
    jobs_per_second = load * cores / MEAN_CORE_SECONDS
    arrivals = list(_arrivals(random.Random(seed), jobs_per_second, seconds))
    arrivals.reverse()
    for number in range(int((seconds + DRAIN_SECONDS) / TICK_SECONDS)):
        now = number * TICK_SECONDS
        simulation.end_tasks(now)
        while arrivals and arrivals[-1][0] <= now:
            arrived_at, spec = arrivals.pop()
            simulation.submit(spec, arrived_at)
        simulation.start_tasks(now)
    return simulation.outcomes()


def _pool_of(job: str) -> int:
    return int(job) % POOL_COUNT


def _arrivals(
    rng: random.Random, jobs_per_second: float, seconds: float
) -> Iterator[tuple[float, JobSpec]]:
    at = rng.expovariate(jobs_per_second)
    while at < seconds:
        yield at, random_spec(rng)
        at += rng.expovariate(jobs_per_second)


def between_size_quantiles(
    outcomes: list[Outcome], first: float, last: float
) -> list[Outcome]:
    """Return the jobs whose work lies between two quantiles."""
    by_work = sorted(outcomes, key=lambda outcome: outcome.core_seconds)
    return by_work[int(first * len(by_work)) : int(last * len(by_work))]


def served_ratio(outcomes: list[Outcome]) -> float:
    """Return the share of jobs that ended before their cutoff."""
    return sum(outcome.is_served for outcome in outcomes) / len(outcomes)


def on_time_ratio(outcomes: list[Outcome]) -> float:
    """Return the share of jobs that ended within their objective."""
    return sum(outcome.is_on_time for outcome in outcomes) / len(outcomes)
