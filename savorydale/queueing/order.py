"""In which order ready steps are placed.

Answers the load of many jobs at once: urgent queues first, then jobs whose deadline
can still be met, the earliest first, and last those that are worth nothing any more.
"""

from typing import NamedTuple

from savorydale.jobs.ledger import StepProgress
from savorydale.jobs.model import MILLISECONDS_PER_SECOND, JobSpec

WORTHLESS_AFTER_OBJECTIVES = 3.0  # a job that took longer than this is of no use


class PlacementRank(NamedTuple):
    """Sorts steps; the smallest comes first. Times are in seconds."""

    is_hopeless: bool
    priority: int
    is_short_lived: bool
    deadline: float


def longest_chain_seconds(spec: JobSpec) -> float:
    """Return the estimated run time of the longest chain of steps."""
    chain_by_step: list[float] = []
    for step in spec.steps:
        before = max((chain_by_step[number] for number in step.after), default=0.0)
        chain_by_step.append(before + step.estimate_ms / MILLISECONDS_PER_SECOND)
    return max(chain_by_step, default=0.0)


def rank_step(step: StepProgress, now: float) -> PlacementRank:
    """Return the rank of a ready step at ``now`` on the loop's clock."""
    job = step.job
    objective_ms = job.queue.objective_ms
    chain = longest_chain_seconds(job.row.spec)
    objective = job.queue.stretch * chain + objective_ms / MILLISECONDS_PER_SECOND
    age = now - job.seen_at
    is_hopeless = (
        not step.spec.long_running and age > WORTHLESS_AFTER_OBJECTIVES * objective
    )
    return PlacementRank(
        is_hopeless,
        job.queue.priority,
        not step.spec.long_running,
        job.seen_at + objective,
    )
