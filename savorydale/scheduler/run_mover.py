"""Stops runs that should continue on another worker."""

import asyncio
import functools
import logging
from collections.abc import Iterator

from savorydale.counters import Counters
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import StepName
from savorydale.placement.choice import can_host, unused_millicores
from savorydale.placement.draining import must_move
from savorydale.placement.health import find_stalled_runs
from savorydale.scheduler.fleet import Fleets
from savorydale.scheduler.state import SchedulerState

CHECK_INTERVAL_SECONDS = 0.25

log = logging.getLogger(__name__)


class RunMover:
    """Moves stuck backfill, runs on draining workers, and runs without progress."""

    def __init__(self, state: SchedulerState, counters: Counters):
        self._state = state
        self._counters = counters
        self._checked_at = 0.0

    def move_runs(self) -> None:
        """Stop all runs to be moved, at most once per `CHECK_INTERVAL_SECONDS`."""
        now = asyncio.get_running_loop().time()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        self._move_stuck_runs()
        self._move_runs_off_draining_workers()
        self._move_stalled_runs()

    def _move_stuck_runs(self) -> None:
        now = asyncio.get_running_loop().time()
        links = [
            link
            for link in self._state.links
            if not link.info.is_draining and link.is_registered
        ]
        fleets = Fleets(self._state, now)
        for link, run in self._state.colocation.choose_moves(
            links, now, functools.partial(self._list_hosts, fleets)
        ):
            self._move(link, run, "backfill is throttled too far to protect services")

    def _move_runs_off_draining_workers(self) -> None:
        """Stop the runs that must leave draining workers."""
        now = asyncio.get_running_loop().time()
        fleets = Fleets(self._state, now)
        for link in self._state.links:
            if not link.info.is_draining or not link.run_by_task:
                continue
            for run in list(link.run_by_task.values()):
                fits_elsewhere = any(self._find_hosts(fleets, link, run))
                if must_move(run, link.seconds_left(now), now, fits_elsewhere):
                    self._move(link, run, "the worker is draining")

    def _list_hosts(
        self, fleets: Fleets, link: WorkerLink, run: Run
    ) -> list[WorkerLink]:
        return list(self._find_hosts(fleets, link, run))

    def _find_hosts(
        self, fleets: Fleets, link: WorkerLink, run: Run
    ) -> Iterator[WorkerLink]:
        """Find the other workers of the service on which the run's task may start."""
        found = self._state.job_tracker.find_task(run.task)
        if found is None:
            return
        count_by_worker = found[0].count_by_worker()
        name = StepName(*run.task[:3])
        for candidate in fleets.for_service(link.info.service).candidates:
            if (
                candidate.worker != link.worker
                and can_host(run.spec, candidate, count_by_worker[candidate.worker])
                and not self._state.advice.is_denied(name, candidate.worker)
            ):
                yield self._state.link_by_worker[candidate.worker]

    def _move_stalled_runs(self) -> None:
        """Stop runs without progress, and quarantine their workers for a while."""
        now = asyncio.get_running_loop().time()
        for link in self._state.links:
            if not link.is_in_contact(now):
                continue
            # The time of the last report: delays of this process do not count.
            reported_at = link.last_contact_at or now
            stalled = find_stalled_runs(_runs_with_cpu(link), reported_at)
            if not stalled:
                continue
            if self._state.health_of(link.worker).on_stall(now):
                self._counters.increment("worker.stalled")
            for run in stalled:
                self._move(link, run, "the run makes no progress")

    def _move(self, link: WorkerLink, run: Run, reason: str) -> None:
        log.info(
            "run is moved",
            extra={
                "job": run.task.job,
                "task": str(run.task),
                "run": run.number,
                "worker": link.worker,
                "reason": reason,
            },
        )
        self._counters.increment("run.moved")
        link.stop(run)


def _runs_with_cpu(link: WorkerLink) -> list[Run]:
    """Return the runs on a worker, without backfill if no CPU may be left for it."""
    is_used_up = unused_millicores(link.load) < 0
    return [
        run
        for run in link.run_by_task.values()
        if not (is_used_up and run.spec.backfill)
    ]
