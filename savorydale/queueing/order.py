"""In which order ready steps are placed.

Answers overload: urgent queues first; among equals, short tasks before services, which
hold what they get for long, but not before services that have waited for a while and
would find places, or a steady flow of short tasks would starve them. Where hardly any
place is left, short tasks keep it: they need it for less time, and it comes back.

Among tasks, jobs that were begun and can still meet their objective go first, so that
the work spent on them is not lost; a job needs more starts the larger it is, and would
otherwise be passed by smaller ones at each. Then the earliest deadline goes first. A
job that cannot meet its objective any more is of some use until three times the
objective, so that later time becomes its deadline, and a later one still if it was not
begun: when more comes than fits, it is better to leave some jobs out than to begin all
and finish few.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from savorydale.jobs.model import MILLISECONDS_PER_SECOND
from savorydale.jobs.tracker import JobProgress, StepProgress, Task

USELESS_AFTER_OBJECTIVES = 3.0
DEFERRED_OBJECTIVES = 4.0  # deadline of a job that is late before it has begun
BEGIN_CHAIN_RATIO = 1.6  # of a job's chain, as tasks of wide steps do not start at once
SERVICE_PATIENCE_SECONDS = 1.5


class Turn(IntEnum):
    """Whose turn it is among steps of the same priority."""

    OVERDUE_SERVICE = 0
    TASK = 1
    NEW_SERVICE = 2


class PlacementRank(NamedTuple):
    """Sorts steps; the smallest comes first. Times are in seconds.

    ``placed_ratio`` is the share of a service's replicas that have a worker, so that
    all services get some replicas before one gets all; 0 for other steps. ``can_wait``
    is false for a job that was begun and can still end within its objective.
    """

    is_useless: bool
    priority: int
    turn: Turn
    placed_ratio: float
    can_wait: bool
    deadline: float


def objective_seconds(job: JobProgress) -> float:
    """Return within which time the job should end."""
    fixed = job.queue.objective_ms / MILLISECONDS_PER_SECOND
    return job.queue.stretch * job.critical_path_seconds + fixed


def rank_step(step: StepProgress, now: float, has_places: bool = True) -> PlacementRank:
    """Return the rank of a ready step at ``now`` on the loop's clock.

    ``has_places`` tells whether several tasks of the step would find a worker now.
    """
    if step.spec.long_running:
        return _rank_service(step, now, has_places)
    job = step.job
    objective = objective_seconds(job)
    chain_left = job.remaining_critical_path_seconds(step.occurrence)
    is_begun = job.has_started(step.occurrence)
    needed = chain_left if is_begun else BEGIN_CHAIN_RATIO * chain_left
    can_be_on_time = now + needed <= job.added_at + objective
    objectives = 1.0
    if not can_be_on_time:
        objectives = USELESS_AFTER_OBJECTIVES if is_begun else DEFERRED_OBJECTIVES
    return PlacementRank(
        is_useless=now + chain_left
        > job.added_at + USELESS_AFTER_OBJECTIVES * objective,
        priority=job.queue.priority,
        turn=Turn.TASK,
        placed_ratio=0.0,
        can_wait=not (is_begun and can_be_on_time),
        deadline=job.added_at + objectives * objective,
    )


def _rank_service(step: StepProgress, now: float, has_places: bool) -> PlacementRank:
    job = step.job
    waiting = step.waiting_tasks()
    since = min((task.wait_started_at for task in waiting), default=now)
    has_waited = now - (since or job.added_at) >= SERVICE_PATIENCE_SECONDS
    is_overdue = has_waited and has_places
    return PlacementRank(
        is_useless=False,
        priority=job.queue.priority,
        turn=Turn.OVERDUE_SERVICE if is_overdue else Turn.NEW_SERVICE,
        placed_ratio=1 - len(waiting) / step.spec.task_count,
        can_wait=True,
        deadline=job.added_at + objective_seconds(job),
    )


def rank_replicas(
    step: StepProgress, tasks: Sequence[Task], now: float, has_places: bool = True
) -> list[tuple[PlacementRank, Task]]:
    """Return the rank of each waiting replica of a service; see `rank_step`."""
    rank = rank_step(step, now, has_places)
    return [
        (rank._replace(placed_ratio=rank.placed_ratio + n / step.spec.task_count), task)
        for n, task in enumerate(tasks)
    ]
