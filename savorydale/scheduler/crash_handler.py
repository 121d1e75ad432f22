"""Counts crashes of workers against the tasks that may have caused them.

Which runs are suspects, and when a task is given up, is decided in
`savorydale.placement.crashes`; the counts are stored with the task's step.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from savorydale.counters import Counters
from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import JobProgress
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.crash_history import Crash, CrashHistory, CrashVerdict
from savorydale.scheduler.state import SchedulerState

MAX_LOGGED_ITEMS = 20

log = logging.getLogger(__name__)


class CrashHandler:
    """Applies crashes of workers and passed probations to the jobs of a term."""

    def __init__(
        self,
        state: SchedulerState,
        counters: Counters,
        fail_job: Callable[[JobProgress], None],
    ):
        self._state = state
        self._counters = counters
        self._fail_job = fail_job
        self._history = CrashHistory()

    def on_crash(self, link: WorkerLink, suspects: list[Run]) -> None:
        """Count the crash of a worker against the tasks that may have caused it."""
        now = asyncio.get_running_loop().time()
        tasks = frozenset(run.task for run in suspects)
        crash = Crash(link.worker, now, tasks)
        self._history.add(crash)
        self._counters.increment("worker.crashed")
        self._log_crash(crash)
        for run in suspects:
            self._suspect(link, run, crash.verdict is CrashVerdict.ONLY_SUSPECT)

    def _log_crash(self, crash: Crash) -> None:
        is_attributed = crash.verdict is CrashVerdict.ONLY_SUSPECT
        kind = "attributed" if is_attributed else "not_attributed"
        self._counters.increment(f"crash.{kind}.{crash.verdict}")
        others = [other.worker for other in self._history.beside(crash)]
        log.warning(
            "worker has crashed",
            extra={
                "worker": crash.worker,
                "suspects": _names(crash.suspects),
                "suspect_count": len(crash.suspects),
                "attributed": is_attributed,
                "verdict": crash.verdict,
                "beside": others[:MAX_LOGGED_ITEMS],
                "beside_count": len(others),
            },
        )

    def _suspect(self, link: WorkerLink, run: Run, is_attributed: bool) -> None:
        """Count a crash against the task of a run, and give it up if it has enough."""
        found = self._state.job_tracker.find_task(run.task)
        if found is None:
            return
        step, task = found
        if task.done or task.run != run.number or step.job.status.is_terminal:
            return
        self._counters.increment("task.crash_suspected")
        self._state.job_tracker.record_crash(step, task, link.worker, is_attributed)
        if not task.crashes.is_given_up:
            return
        self._counters.increment("task.given_up_after_crashes")
        now = asyncio.get_running_loop().time()
        crashes = self._history.of_task(run.task)
        log.warning(
            "task is given up",
            extra={
                "job": run.task.job,
                "task": str(run.task),
                "run": run.number,
                "worker": link.worker,
                "crashes": task.crashes.suspected,
                "attributed": task.crashes.attributed,
                "decided_by": [
                    (crash.worker, round(now - crash.noticed_at, 3), crash.verdict)
                    for crash in crashes[-MAX_LOGGED_ITEMS:]
                ],
            },
        )
        self._fail_job(step.job)

    def on_probation_passed(self, link: WorkerLink, run: Run) -> bool:
        """Clear the task of a run that did not crash its worker, if it was suspected.

        Returns whether it was.
        """
        if run.task not in self._state.job_tracker.suspect_by_id:
            return False
        found = self._state.job_tracker.find_task(run.task)
        if found is None or found[1].run != run.number:
            return False
        self._state.job_tracker.clear_suspicion(*found)
        log.info(
            "task is cleared",
            extra={
                "job": run.task.job,
                "task": str(run.task),
                "run": run.number,
                "worker": link.worker,
            },
        )
        return True


def _names(tasks: Iterable[TaskId]) -> list[str]:
    return sorted(str(task) for task in tasks)[:MAX_LOGGED_ITEMS]
