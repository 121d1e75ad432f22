"""Delay the restarts of long-running tasks that keep crashing their workers.

Such a task is never given up, as a worker may crash again and again for its own
reasons. Where a batch task would be given up, its restarts are delayed, twice as long
after each further crash. A task that passes its probation is cleared, so its next
restart is not delayed.
"""

from collections.abc import Mapping

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import Task
from savorydale.placement.crash_history import CrashHistory
from savorydale.placement.crashes import MAX_ATTRIBUTED_CRASHES, CrashCounts

MIN_RESTART_DELAY_SECONDS = 1.0
MAX_DOUBLINGS = 2  # an innocent task must not be away for long
MAX_RESTART_DELAY_SECONDS = MIN_RESTART_DELAY_SECONDS * 2**MAX_DOUBLINGS


def restart_delay_seconds(counts: CrashCounts) -> float:
    """Return how long after its latest crash a task must not be restarted."""
    if not counts.is_given_up:
        return 0.0
    doublings = min(MAX_DOUBLINGS, counts.total - MAX_ATTRIBUTED_CRASHES)
    return MIN_RESTART_DELAY_SECONDS * 2**doublings


def delayed_tasks(
    suspects: Mapping[TaskId, Task], history: CrashHistory, now: float
) -> set[TaskId]:
    """Return the suspects that must not be restarted yet.

    A new lease holder does not know when earlier crashes were noticed, and delays only
    restarts after the crashes that it has noticed itself.
    """
    return {
        name
        for name, task in suspects.items()
        if (delay_seconds := restart_delay_seconds(task.crashes))
        and now - history.latest_crash_at(name) < delay_seconds
    }
