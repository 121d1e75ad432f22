"""Logs the load of the workers, the services that lack replicas, and why.

It logs the fleet and the planning once per second, and a service only when its replica
counts change, so that the log volume does not grow with the number of calls.
"""

import asyncio
import collections
import logging
from collections.abc import Callable
from typing import NamedTuple

from savorydale.jobs.model import StepKind
from savorydale.jobs.progress import JobProgress
from savorydale.orders.runs import Run, RunState
from savorydale.scheduler.planning_counts import PlanningCounts
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.wait_report import WaitReport

REPORT_INTERVAL_SECONDS = 1.0

log = logging.getLogger(__name__)


class ReplicaCount(NamedTuple):
    """Replicas of one service job.

    ``over_target`` counts those whose tail latency had reached the latency target in
    the last report of their workers.
    """

    wanted: int
    running: int
    over_target: int


class LoadReport:
    """Logs the load of the fleet, and replica counts that have changed."""

    def __init__(
        self,
        state: SchedulerState,
        take_counts: Callable[[], PlanningCounts],
        wait_report: WaitReport,
    ):
        self._state = state
        self._take_counts = take_counts
        self._wait_report = wait_report
        self._reported_at = 0.0
        self._count_by_job: dict[str, ReplicaCount] = {}

    def report(self) -> None:
        """Log the load, at most once per `REPORT_INTERVAL_SECONDS`."""
        now = asyncio.get_running_loop().time()
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        self._report_fleet(now)
        self._report_planning()
        self._report_services()
        self._wait_report.report(now)

    def _report_fleet(self, now: float) -> None:
        loads = [link.load for link in self._state.links if link.is_in_contact(now)]
        log.info(
            "load",
            extra={
                "workers": len(loads),
                "capacity_millicores": sum(ld.capacity.cpu_millicores for ld in loads),
                "service_millicores": sum(ld.service_millicores for ld in loads),
                "short_millicores": sum(ld.batch_millicores for ld in loads),
                "backfill_millicores": round(
                    sum(ld.backfill_millicores for ld in loads)
                ),
                "waiting": self._count_waiting(),
            },
        )

    def _report_planning(self) -> None:
        counts = self._take_counts()
        if not counts.rounds:
            return
        log.info("planning", extra=counts.to_fields())

    def _count_waiting(self) -> dict[StepKind, int]:
        """Return the number of tasks that could start now, by kind."""
        count_by_kind: collections.Counter[StepKind] = collections.Counter()
        for job in self._unfinished_jobs():
            for step in job.known_steps():
                if step.is_ready:
                    count_by_kind[step.spec.kind] += len(step.waiting_tasks())
        return dict(count_by_kind)

    def _report_services(self) -> None:
        counts = {
            job.id: self._count_replicas(job)
            for job in self._unfinished_jobs()
            if any(step.long_running for step in job.row.spec.steps)
        }
        for job, count in counts.items():
            previous = self._count_by_job.get(
                job, ReplicaCount(count.wanted, count.wanted, 0)
            )
            if count != previous:
                log.info("service replicas", extra={"job": job, **count._asdict()})
        self._count_by_job = counts

    def _count_replicas(self, job: JobProgress) -> ReplicaCount:
        wanted = running = over_target = 0
        for step in job.known_steps():
            if not step.spec.long_running:
                continue
            wanted += len(step.tasks)
            for task in step.tasks:
                link = self._state.link_by_worker.get(task.worker)
                run = link.run_by_task.get(task.id) if link else None
                running += run is not None and run.state is RunState.ACTIVE
                over_target += run is not None and _is_over_target(run)
        return ReplicaCount(wanted, running, over_target)

    def _unfinished_jobs(self) -> list[JobProgress]:
        jobs = self._state.job_tracker.job_by_id.values()
        return [job for job in jobs if not job.status.is_terminal]


def _is_over_target(run: Run) -> bool:
    target = run.spec.latency_target_ms
    return bool(target) and run.usage >= target
