"""Circuit breaker for workers: quarantines those that fail tasks.

A quarantined worker corresponds to an open circuit breaker, a worker on trial to a
half-open one.
"""

from typing import NamedTuple

FAILURES_TO_QUARANTINE = 3
MIN_WORKERS_FOR_SUSPECT_WORK = 2
SUCCESS_AFTER_SECONDS = 20.0
INITIAL_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0


class QuarantinePeriod(NamedTuple):
    """Time until which a worker gets no tasks, and the duration of the quarantine."""

    ends_at: float
    duration_seconds: float


class Quarantine:
    """Failures and successes on the workers of one rack; times are loop time.

    ``work`` is the name of a job or service. Work that has failed on at least
    ``MIN_WORKERS_FOR_SUSPECT_WORK`` workers since it last succeeded anywhere is
    suspect, and its failures do not count against a worker. After its quarantine, a
    worker is on trial: it gets one task at a time until one succeeds. A task succeeds
    when it is done or has run for ``SUCCESS_AFTER_SECONDS``.
    """

    def __init__(self) -> None:
        self._failed_work_by_worker: dict[str, list[str]] = {}
        self._failed_workers_by_work: dict[str, set[str]] = {}
        self._period_by_worker: dict[str, QuarantinePeriod] = {}
        self._started_at_by_task: dict[str, float] = {}

    def record_start(self, task: str, now: float) -> None:
        """Record that a worker has started a task."""
        self._started_at_by_task[task] = now

    def record_end(self, task: str) -> None:
        """Discard the start time of a task that has ended."""
        self._started_at_by_task.pop(task, None)

    def record_running(self, worker: str, work: str, task: str, now: float) -> None:
        """Record that a task runs, which is a success once it has run long enough."""
        started_at = self._started_at_by_task.get(task)
        if started_at is not None and now - started_at >= SUCCESS_AFTER_SECONDS:
            del self._started_at_by_task[task]
            self.record_success(worker, work)

    def record_success(self, worker: str, work: str) -> None:
        """Record that a task succeeded, which ends the worker's quarantine."""
        self._failed_work_by_worker.pop(worker, None)
        self._failed_workers_by_work.pop(work, None)
        self._period_by_worker.pop(worker, None)

    def record_failure(self, worker: str, work: str, now: float) -> bool:
        """Record that a task failed; return whether this quarantines the worker."""
        self._failed_workers_by_work.setdefault(work, set()).add(worker)
        failed_work = self._failed_work_by_worker.setdefault(worker, [])
        failed_work.append(work)
        del failed_work[:-FAILURES_TO_QUARANTINE]
        previous = self._period_by_worker.get(worker)
        if previous is not None and (now < previous.ends_at or self._is_suspect(work)):
            return False
        if (
            previous is None
            and self._count_own_failures(worker) < FAILURES_TO_QUARANTINE
        ):
            return False
        duration_seconds = (
            INITIAL_QUARANTINE_SECONDS
            if previous is None
            else previous.duration_seconds * 2
        )
        duration_seconds = min(duration_seconds, MAX_QUARANTINE_SECONDS)
        self._period_by_worker[worker] = QuarantinePeriod(
            now + duration_seconds, duration_seconds
        )
        return True

    def allows_placement(self, worker: str, unproven: int, now: float) -> bool:
        """Return whether a task may be placed on a worker.

        Parameters
        ----------
        worker : str
            Name of the VM.
        unproven : int
            Tasks on it that have not succeeded yet.
        now : float
            Loop time in seconds.
        """
        period = self._period_by_worker.get(worker)
        if period is None:
            return True
        return now >= period.ends_at and not unproven

    def is_restricted(self, worker: str) -> bool:
        """Return whether a worker is quarantined or on trial."""
        return worker in self._period_by_worker

    def is_unproven(self, task: str) -> bool:
        """Return whether a task has been started and has not succeeded yet."""
        return task in self._started_at_by_task

    def _count_own_failures(self, worker: str) -> int:
        failed_work = self._failed_work_by_worker.get(worker, [])
        return sum(not self._is_suspect(work) for work in failed_work)

    def _is_suspect(self, work: str) -> bool:
        return (
            len(self._failed_workers_by_work.get(work, ()))
            >= MIN_WORKERS_FOR_SUSPECT_WORK
        )
