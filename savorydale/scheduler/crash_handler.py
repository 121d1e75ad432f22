"""Counts crashes of workers against the tasks that may have caused them.

What a crash says is decided in `savorydale.placement.crash_history`, and when a task is
given up in `savorydale.placement.crashes`. A crash counts as coincident with others
until it is judged. The counts are stored with the task's step from the beginning, so a
new lease holder knows of crashes that its predecessor did not judge.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from savorydale.counters import Counters
from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import JobProgress, StepProgress, Task
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.crash_history import Crash, CrashVerdict
from savorydale.placement.crashes import NO_EVIDENCE
from savorydale.placement.restart_delays import restart_delay_seconds
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
        self._history = state.crash_history
        self._counters = counters
        self._fail_job = fail_job

    def restore(self) -> None:
        """Take over the crashes that earlier lease holders counted as coincident."""
        suspects = self._state.job_tracker.suspect_by_id
        tasks = [name for name, task in suspects.items() if task.crashes.coincident]
        self._history.restore(tasks, asyncio.get_running_loop().time())

    def on_missing(self, link: WorkerLink, runs: list[Run]) -> None:
        """Note that a worker was gone when this lease holder first contacted it.

        Any of its runs may be the cause; `on_crash` follows if one is a suspect.
        """
        now = asyncio.get_running_loop().time()
        crash = Crash(link.worker, now, {run.task for run in runs}, {})
        crash.verdict = CrashVerdict.NO_SUSPECT
        self._history.add(crash)
        self._judge_again(self._history.judged_beside(crash))

    def on_crash(self, link: WorkerLink, suspects: list[Run]) -> None:
        """Count the crash of a worker against the tasks that may have caused it."""
        crash = Crash(
            link.worker,
            link.crash_noticed_at,
            {run.task for run in suspects},
            {},
            is_alone=len(suspects) == 1,
            is_after_silence=link.is_crash_after_silence,
            worker_count=sum(link.is_registered for link in self._state.links),
        )
        self._counters.increment("worker.crashed")
        for run in suspects:
            self._suspect(crash, run)
        self._history.add(crash)
        self._judge_again(self._history.judged_beside(crash))

    def _suspect(self, crash: Crash, run: Run) -> None:
        """Count an unjudged crash against the task of a run."""
        found = self._find_suspect(run.task)
        if found is None or found[1].run != run.number:
            return
        step, task = found
        self._counters.increment("task.crash_suspected")
        crash.run_by_task[task.id] = run.number
        crash.is_at_its_own_time |= task.crashes.must_start_at_its_own_time
        task.excluded_workers |= {crash.worker}
        counts = task.crashes.replace_evidence(NO_EVIDENCE, crash.evidence)
        counts = counts._replace(last_counted_run=run.number)
        self._state.job_tracker.set_crashes(step, task, counts)

    def _find_suspect(self, name: TaskId) -> tuple[StepProgress, Task] | None:
        """Return a task against which a crash may count, or ``None``."""
        found = self._state.job_tracker.find_task(name)
        if found is None or found[1].done or found[0].job.status.is_terminal:
            return None
        return found

    def judge_due(self) -> bool:
        """Judge the crashes beside which no more can be noticed; return if any was."""
        crashes = self._history.due(asyncio.get_running_loop().time())
        for crash in crashes:
            self._set_verdict(crash, self._history.judge(crash))
            self._log_crash(crash)
        return bool(crashes)

    def _judge_again(self, crashes: Iterable[Crash]) -> None:
        """Judge crashes again, after more has become known."""
        for crash in crashes:
            verdict = self._history.judge(crash)
            if verdict is crash.verdict or not crash.run_by_task:
                continue
            self._counters.increment(f"crash.judged_again.{verdict}")
            log.info(
                "crash is judged again",
                extra={
                    "worker": crash.worker,
                    "earlier_verdict": crash.verdict,
                    "verdict": verdict,
                    "suspects": _names(crash.suspects),
                },
            )
            self._set_verdict(crash, verdict)

    def _set_verdict(self, crash: Crash, verdict: CrashVerdict) -> None:
        """Change the counts of all tasks against which a crash counts."""
        earlier = crash.evidence
        crash.verdict = verdict
        for name in list(crash.run_by_task):
            found = self._find_suspect(name)
            if found is None:
                continue
            step, task = found
            counts = task.crashes.replace_evidence(earlier, crash.evidence)
            self._state.job_tracker.set_crashes(step, task, counts)
            if step.is_given_up(task):
                self._give_up(step, task, crash)
            elif counts.is_given_up:
                self._log_delay(task, crash)

    def _give_up(self, step: StepProgress, task: Task, crash: Crash) -> None:
        self._counters.increment("task.given_up_after_crashes")
        log.warning("task is given up", extra=self._describe(task, crash))
        self._fail_job(step.job)

    def _log_delay(self, task: Task, crash: Crash) -> None:
        self._counters.increment("task.delayed_after_crashes")
        delay_seconds = restart_delay_seconds(task.crashes)
        log.warning(
            "restart is delayed",
            extra={**self._describe(task, crash), "delay": delay_seconds},
        )

    def _describe(self, task: Task, crash: Crash) -> dict[str, object]:
        """Return the fields of a log line on a task and the crashes under it."""
        now = asyncio.get_running_loop().time()
        crashes = self._history.of_task(task.id)
        return {
            "job": task.id.job,
            "task": str(task.id),
            "run": task.run,
            "worker": crash.worker,
            "crashes": task.crashes.suspected,
            "attributed": task.crashes.attributed,
            "coincident": task.crashes.coincident,
            "decided_by": [
                (other.worker, round(now - other.noticed_at, 3), other.verdict)
                for other in crashes[-MAX_LOGGED_ITEMS:]
            ],
        }

    def _log_crash(self, crash: Crash) -> None:
        kind = "attributed" if crash.is_attributed else "not_attributed"
        self._counters.increment(f"crash.{kind}.{crash.verdict}")
        others = [other.worker for other in self._history.beside(crash)]
        log.warning(
            "worker has crashed",
            extra={
                "worker": crash.worker,
                "suspects": _names(crash.suspects),
                "suspect_count": len(crash.suspects),
                "attributed": crash.is_attributed,
                "verdict": crash.verdict,
                "beside": others[:MAX_LOGGED_ITEMS],
                "beside_count": len(others),
            },
        )

    def on_done(self, name: TaskId) -> None:
        """Clear a task that has succeeded."""
        self._judge_again(self._history.clear(name))

    def on_probation_passed(self, link: WorkerLink, run: Run) -> bool:
        """Clear the task of a run that did not crash its worker, if it was suspected.

        Returns whether it was.
        """
        found = self._state.job_tracker.find_task(run.task)
        if found is None or found[1].run != run.number:
            return False
        self._judge_again(self._history.clear(run.task))
        if run.task not in self._state.job_tracker.suspect_by_id:
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
