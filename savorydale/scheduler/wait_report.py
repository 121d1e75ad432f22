"""Logs the tasks of services that do not run, and why.

The decisions of the planner are recorded as they are made; see `WaitDecisions`. The log
is bounded: a task that waits for long is logged every few seconds, and if many wait,
only those that have waited longest.
"""

import collections
import logging
from collections.abc import Callable, Iterator
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.jobs.model import QueueSettings, TaskId
from savorydale.jobs.progress import StepProgress, Task
from savorydale.orders.runs import Run, RunState
from savorydale.orders.worker_link import WorkerLink
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.waiting import (
    WaitDecision,
    WaitDecisions,
    WaitReason,
    links_with_capacity,
)

MIN_WAIT_SECONDS = 2.0  # shorter waits are not logged
LINE_INTERVAL_SECONDS = 4.0  # between two lines about one task
MAX_LINES_PER_REPORT = 10
# An accepted run that its worker has not listed for so long is not on the worker.
MAX_UNLISTED_SECONDS = 1.0

log = logging.getLogger(__name__)


class Absence(NamedTuple):
    """A task that does not run; ``worker`` is the one that it is assigned to, if any.

    ``seconds`` is for how long it has not run.
    """

    step: StepProgress
    task: Task
    decision: WaitDecision
    seconds: float
    worker: str


class WaitReport:
    """Finds the tasks of services that do not run, once per report."""

    def __init__(
        self,
        state: SchedulerState,
        decisions: WaitDecisions,
        counters: Counters,
        service_of: Callable[[QueueSettings], str],
        epoch: int,
    ):
        self._state = state
        self._decisions = decisions
        self._counters = counters
        self._service_of = service_of
        self._epoch = epoch
        self._absent_since_by_task: dict[TaskId, float] = {}
        self._logged_at_by_task: dict[TaskId, float] = {}

    def report(self, now: float) -> None:
        """Count the tasks that wait for long by reason, and log some of them."""
        absences = list(self._find_absences(now))
        tasks = {absence.task.id for absence in absences}
        self._absent_since_by_task = _only(self._absent_since_by_task, tasks)
        self._logged_at_by_task = _only(self._logged_at_by_task, tasks)
        self._decisions.retain(tasks, now)
        overdue = [each for each in absences if each.seconds >= MIN_WAIT_SECONDS]
        for reason, count in _count_by_reason(overdue).items():
            self._counters.increment(f"task.waits.{reason}", count)
        self._log(overdue, now)

    def _log(self, overdue: list[Absence], now: float) -> None:
        due = [absence for absence in overdue if self._is_line_due(absence, now)]
        due.sort(key=lambda absence: -absence.seconds)
        for absence in due[:MAX_LINES_PER_REPORT]:
            self._logged_at_by_task[absence.task.id] = now
            self._log_absence(absence, now)
        left_out = due[MAX_LINES_PER_REPORT:]
        if left_out:
            fields = {"tasks": len(left_out), "reasons": _count_by_reason(left_out)}
            log.info("more tasks wait", extra=fields)

    def _is_line_due(self, absence: Absence, now: float) -> bool:
        logged_at = self._logged_at_by_task.get(absence.task.id)
        return logged_at is None or now - logged_at >= LINE_INTERVAL_SECONDS

    def _log_absence(self, absence: Absence, now: float) -> None:
        step, task, decision, seconds, worker = absence
        service = self._service_of(step.job.queue)
        links = links_with_capacity(self._state, service, step.spec)
        obstacles = collections.Counter(
            str(self._state.find_obstacle(link, now) or "none") for link in links
        )
        log.info(
            "task waits",
            extra={
                "job": task.id.job,
                "task": str(task.id),
                "run": task.run,
                "waited": round(seconds, 3),
                "reason": decision.reason,
                "reason_age": round(now - decision.since, 3),
                "detail": decision.detail,
                "tried_reason": decision.tried_reason,
                "tried_age": _age(decision.tried_at, now),
                "worker": worker,
                "version": decision.version,
                "epoch": self._epoch,
                "fits": bool(links),
                "workers_with_capacity": len(links),
                "workers_usable": obstacles["none"],
                "obstacles": dict(obstacles),
            },
        )

    def _find_absences(self, now: float) -> Iterator[Absence]:
        """Find the tasks of services that wait, or whose run is not known to be active.

        Other work is not looked at, since thousands of its tasks may wait.
        """
        for job in self._state.job_tracker.job_by_id.values():
            if job.status.is_terminal:
                continue
            for step in job.known_steps():
                if not step.spec.long_running or not step.is_ready:
                    continue
                for task in step.tasks:
                    absence = self._find_absence(step, task, now)
                    if absence is not None:
                        yield absence

    def _find_absence(
        self, step: StepProgress, task: Task, now: float
    ) -> Absence | None:
        if task.done:
            return None
        if task.is_waiting:
            began_at = task.wait_started_at or step.job.added_at
            decision = self._decisions.find(task.id) or WaitDecision(
                WaitReason.NOT_CONSIDERED, began_at, 0
            )
            return self._make_absence(step, task, decision, began_at, now)
        link = self._state.link_by_worker.get(task.worker)
        run = link.run_by_task.get(task.id) if link else None
        reason = _find_run_reason(link, run, now)
        if reason is None:
            return None
        decision = WaitDecision(reason, now, 0, _describe(link, run, now))
        absence = self._make_absence(step, task, decision, now, now)
        decision.since = now - absence.seconds
        return absence

    def _make_absence(
        self,
        step: StepProgress,
        task: Task,
        decision: WaitDecision,
        began_at: float,
        now: float,
    ) -> Absence:
        """Return an absence, which lasts across starts that come to nothing."""
        since = min(self._absent_since_by_task.get(task.id, now), began_at)
        self._absent_since_by_task[task.id] = since
        return Absence(step, task, decision, now - since, task.worker)


def _find_run_reason(
    link: WorkerLink | None, run: Run | None, now: float
) -> WaitReason | None:
    """Return why the run of an assigned task may not be active, or ``None``."""
    if link is None or run is None:
        return WaitReason.RUN_UNKNOWN
    if run.state is RunState.UNKNOWN or not link.is_in_contact(now):
        return WaitReason.RUN_UNKNOWN
    if run.stop_requested:
        return WaitReason.BEING_STOPPED
    if run.state is not RunState.ACTIVE:
        return WaitReason.START_NOT_ANSWERED
    is_listed = run.first_progress_percent is not None
    if not is_listed and now - run.confirmed_at >= MAX_UNLISTED_SECONDS:
        return WaitReason.EARLIER_RUN_LISTED
    return None


def _describe(link: WorkerLink | None, run: Run | None, now: float) -> str:
    """Describe what ends the wait for a run that is assigned."""
    if link is None or run is None:
        return "the worker's link has no such run"
    lapses_in = link.latest_lapse_at() - now
    contact_age = _age(link.last_contact_at, now)
    return (
        f"run {run.state.value}, silent for {contact_age} s, "
        f"lease lapses in {lapses_in:.1f} s"
    )


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)


def _only(time_by_task: dict[TaskId, float], tasks: set[TaskId]) -> dict[TaskId, float]:
    return {task: time for task, time in time_by_task.items() if task in tasks}


def _count_by_reason(absences: list[Absence]) -> dict[str, int]:
    counts = collections.Counter(str(each.decision.reason) for each in absences)
    return dict(counts)
