"""Ranks ready steps in the order in which their tasks are placed.

The order matters under overload. Queues of higher priority come first. Within one
priority, batch and backfill tasks come before services, since a service keeps its
capacity for long. A service that has waited for `SERVICE_OVERDUE_SECONDS` comes first
if several of its replicas fit, or a steady flow of batch tasks would starve it. While
hardly any capacity is free, batch tasks still come first: they release it sooner.

Among batch and backfill tasks, started jobs that can still meet their objective come
first, so that the work already done is not lost. A larger job needs more starts, and
without this rule smaller jobs would overtake it at each of them. Then the earliest
deadline comes first. A job that can no longer meet its objective has some value until
`CUTOFF_OBJECTIVES` times the objective, which becomes its deadline; if it has not
started, the deadline is later still. A job that cannot end before this cutoff comes
last, whatever its priority. When the load exceeds the capacity, leaving out some jobs
is better than starting all of them and finishing few.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from savorydale.jobs.model import MILLISECONDS_PER_SECOND
from savorydale.jobs.progress import JobProgress, StepProgress, Task

# Multiples of a job's objective.
CUTOFF_OBJECTIVES = 3.0  # a job that ends later has no value
DEFERRED_OBJECTIVES = 4.0  # deadline of a late job that has not started
# Run time of a job that has not started, relative to its critical path: the tasks of a
# wide step do not all start at once.
NOT_STARTED_RATIO = 1.6
SERVICE_OVERDUE_SECONDS = 1.5


class KindRank(IntEnum):
    """Order of services and other steps within one priority."""

    OVERDUE_SERVICE = 0
    NON_SERVICE = 1
    SERVICE = 2


class PlacementRank(NamedTuple):
    """Sort key of a step; the smallest is placed first.

    ``misses_cutoff`` tells whether the job cannot end before `CUTOFF_OBJECTIVES` times
    its objective. ``placed_ratio`` is the share of a service's replicas that have a
    worker, so that all services get some replicas before one gets all; 0 for other
    steps. ``can_wait`` is false for a started job that can still meet its objective.
    ``deadline`` is on the loop's clock, in seconds.
    """

    misses_cutoff: bool
    priority: int
    kind_rank: KindRank
    placed_ratio: float
    can_wait: bool
    deadline: float


def objective_seconds(job: JobProgress) -> float:
    """Return the time within which the job should end after it was added."""
    fixed_seconds = job.queue.objective_ms / MILLISECONDS_PER_SECOND
    return job.queue.stretch * job.critical_path_seconds + fixed_seconds


def rank_step(
    step: StepProgress, now: float, has_capacity: bool = True
) -> PlacementRank:
    """Return the rank of a ready step at ``now`` on the loop's clock.

    ``has_capacity`` tells whether several tasks of the step fit on the workers now.
    """
    if step.spec.long_running:
        return _rank_service(step, now, has_capacity)
    job = step.job
    objective = objective_seconds(job)
    path_seconds = job.remaining_critical_path_seconds(step.occurrence)
    has_started = job.has_started(step.occurrence)
    needed_seconds = path_seconds if has_started else NOT_STARTED_RATIO * path_seconds
    can_meet_objective = now + needed_seconds <= job.added_at + objective
    deadline_objectives = 1.0
    if not can_meet_objective:
        deadline_objectives = CUTOFF_OBJECTIVES if has_started else DEFERRED_OBJECTIVES
    return PlacementRank(
        misses_cutoff=now + path_seconds > job.added_at + CUTOFF_OBJECTIVES * objective,
        priority=job.queue.priority,
        kind_rank=KindRank.NON_SERVICE,
        placed_ratio=0.0,
        can_wait=not (has_started and can_meet_objective),
        deadline=job.added_at + deadline_objectives * objective,
    )


def _rank_service(step: StepProgress, now: float, has_capacity: bool) -> PlacementRank:
    job = step.job
    waiting = step.waiting_tasks()
    wait_started_at = min((task.wait_started_at for task in waiting), default=now)
    has_waited = now - (wait_started_at or job.added_at) >= SERVICE_OVERDUE_SECONDS
    is_overdue = has_waited and has_capacity
    return PlacementRank(
        misses_cutoff=False,
        priority=job.queue.priority,
        kind_rank=KindRank.OVERDUE_SERVICE if is_overdue else KindRank.SERVICE,
        placed_ratio=1 - len(waiting) / step.spec.task_count,
        can_wait=True,
        deadline=job.added_at + objective_seconds(job),
    )


def rank_replicas(
    step: StepProgress, tasks: Sequence[Task], now: float, has_capacity: bool = True
) -> list[tuple[PlacementRank, Task]]:
    """Return the rank of each waiting replica of a service; see `rank_step`."""
    rank = rank_step(step, now, has_capacity)
    return [
        (rank._replace(placed_ratio=rank.placed_ratio + n / step.spec.task_count), task)
        for n, task in enumerate(tasks)
    ]
