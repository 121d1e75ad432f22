"""In which order ready steps are placed.

Answers overload: urgent queues first; among equals, short tasks before services, which
hold what they get for long, but not before services that have waited for a while, or a
steady flow of short tasks would starve them; then the earliest deadline first. A
job that cannot meet its objective any more is still of some use until three times the
objective, so that later time becomes its deadline and others that can still be on time
go before it.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from savorydale.jobs.ledger import JobProgress, StepProgress, Task
from savorydale.jobs.model import MILLISECONDS_PER_SECOND, JobSpec

USELESS_AFTER_OBJECTIVES = 3.0
SERVICE_PATIENCE_SECONDS = 1.5


class Turn(IntEnum):
    """Whose turn it is among steps of the same priority."""

    OVERDUE_SERVICE = 0
    TASK = 1
    NEW_SERVICE = 2


class PlacementRank(NamedTuple):
    """Sorts steps; the smallest comes first. Times are in seconds.

    ``placed_ratio`` is the share of a service's replicas that have a worker, so that
    all services get some replicas before one gets all; 0 for other steps.
    """

    is_useless: bool
    priority: int
    turn: Turn
    placed_ratio: float
    deadline: float


def longest_chain_seconds(
    spec: JobSpec, done_steps: frozenset[int] = frozenset()
) -> float:
    """Return the estimated run time of the longest chain of steps not yet done."""
    chain_by_step: list[float] = []
    for number, step in enumerate(spec.steps):
        before = max((chain_by_step[earlier] for earlier in step.after), default=0.0)
        own = 0.0 if number in done_steps else step.estimate_ms
        chain_by_step.append(before + own / MILLISECONDS_PER_SECOND)
    return max(chain_by_step, default=0.0)


def objective_seconds(job: JobProgress) -> float:
    """Return within which time the job should end."""
    chain = longest_chain_seconds(job.row.spec)
    return job.queue.stretch * chain + job.queue.objective_ms / MILLISECONDS_PER_SECOND


def rank_step(step: StepProgress, now: float) -> PlacementRank:
    """Return the rank of a ready step at ``now`` on the loop's clock."""
    job = step.job
    objective = objective_seconds(job)
    deadline = job.seen_at + objective
    done = frozenset(
        number
        for number, other in enumerate(job.steps_of(step.occurrence))
        if other.is_done
    )
    is_useless = False
    if now + longest_chain_seconds(job.row.spec, done) > deadline:
        deadline = job.seen_at + USELESS_AFTER_OBJECTIVES * objective
        is_useless = now > deadline and not step.spec.long_running
    turn = Turn.TASK
    placed_ratio = 0.0
    if step.spec.long_running:
        waiting = step.waiting_tasks()
        since = min((task.waiting_since for task in waiting), default=now)
        is_overdue = now - (since or job.seen_at) >= SERVICE_PATIENCE_SECONDS
        turn = Turn.OVERDUE_SERVICE if is_overdue else Turn.NEW_SERVICE
        placed_ratio = 1 - len(waiting) / step.spec.task_count
    return PlacementRank(is_useless, job.queue.priority, turn, placed_ratio, deadline)


def rank_replicas(
    step: StepProgress, tasks: Sequence[Task], now: float
) -> list[tuple[PlacementRank, Task]]:
    """Return the rank of each waiting replica of a service."""
    rank = rank_step(step, now)
    return [
        (rank._replace(placed_ratio=rank.placed_ratio + n / step.spec.task_count), task)
        for n, task in enumerate(tasks)
    ]
