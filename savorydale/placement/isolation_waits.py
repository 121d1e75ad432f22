"""Bound how long long-running suspects of a crash wait for isolation.

Where suspects are many and workers few, they would start one after the other, each for
the time of its probation (see `isolation`). Long-running tasks must be back sooner, and
they are never given up, so crashes beside others do their jobs no harm.
"""

from collections.abc import Container

from savorydale.jobs.model import TaskId

MAX_SECONDS_AFTER_CRASH = 6.0
MIN_WAIT_SECONDS = 1.5  # the runs on probation have passed theirs by then


class IsolationWaits:
    """Knows which suspects wait for a worker only because others have new runs.

    All times are on the loop's clock.
    """

    def __init__(self) -> None:
        self._waits_since_by_task: dict[TaskId, float] = {}

    def retain(self, tasks: Container[TaskId]) -> None:
        """Forget all tasks that no longer wait."""
        self._waits_since_by_task = {
            task: waits_since
            for task, waits_since in self._waits_since_by_task.items()
            if task in tasks
        }

    def record(self, task: TaskId, now: float) -> None:
        """Record that a worker has capacity for a suspect, but also other new runs."""
        self._waits_since_by_task.setdefault(task, now)

    def is_over(self, task: TaskId, crashed_at: float, now: float) -> bool:
        """Return whether a suspect may start beside others.

        The latest crash under it was noticed at ``crashed_at``.
        """
        waits_since = self._waits_since_by_task.get(task)
        if waits_since is None:
            return False
        return now >= max(
            crashed_at + MAX_SECONDS_AFTER_CRASH, waits_since + MIN_WAIT_SECONDS
        )
