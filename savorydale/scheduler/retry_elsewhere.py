"""Lets a failed batch task wait a while for a worker on which it has not failed.

A worker that fails everything is often the one with free capacity, since its runs end
at once. A task that went straight back to it would use up its attempts there.
"""

from savorydale.jobs.progress import StepProgress, Task
from savorydale.scheduler.fleet import Fleet

MAX_WAIT_SECONDS = 1.5


def workers_to_avoid(
    step: StepProgress, task: Task, fleet: Fleet, now: float
) -> frozenset[str]:
    """Return the workers on which a task has failed, if another one may take it soon.

    The members of a gang start together, so they avoid none.
    """
    excluded = task.excluded_workers
    if not excluded or step.spec.gang:
        return frozenset()
    if now >= task.wait_started_at + MAX_WAIT_SECONDS:
        return frozenset()
    label = step.spec.required_label
    has_others = any(
        each.worker not in excluded and label in ("", *each.labels)
        for each in fleet.all_candidates
    )
    return excluded if has_others else frozenset()
