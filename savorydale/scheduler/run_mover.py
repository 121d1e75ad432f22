"""Stops runs where they cannot go on well, so that they continue elsewhere."""

import asyncio
import logging

from savorydale.counters import Counters
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.draining import must_move
from savorydale.placement.health import find_stalled_runs
from savorydale.scheduler.state import SchedulerState

LOOK_SECONDS = 0.25

log = logging.getLogger(__name__)


class RunMover:
    """Looks for runs that are stuck, on leaving workers, or without progress."""

    def __init__(self, state: SchedulerState, counters: Counters):
        self._state = state
        self._counters = counters
        self._looked_at = 0.0

    def move(self) -> None:
        """Stop all runs that should go on elsewhere, if it is time to look again."""
        now = asyncio.get_running_loop().time()
        if now - self._looked_at < LOOK_SECONDS:
            return
        self._looked_at = now
        self._move_stuck_runs()
        self._empty_leaving_workers()
        self._leave_stalled_workers()

    def _move_stuck_runs(self) -> None:
        now = asyncio.get_running_loop().time()
        links = [
            link
            for link in self._state.links
            if not link.info.is_draining and link.is_registered
        ]
        for link, run in self._state.colocation.choose_moves(links, now):
            self._move(link, run, "backfill cannot work beside the services there")

    def _empty_leaving_workers(self) -> None:
        """Stop what must leave workers that are about to go."""
        now = asyncio.get_running_loop().time()
        for link in self._state.links:
            if not link.info.is_draining or not link.run_by_task:
                continue
            candidates = self._state.candidates(link.info.service, now)
            for run in list(link.run_by_task.values()):
                has_place = any(other.load.fits(run.spec) for other in candidates)
                if must_move(run, link.seconds_left(now), now, has_place):
                    self._move(link, run, "the worker is leaving")

    def _leave_stalled_workers(self) -> None:
        """Start elsewhere what stands still, and give its worker a rest."""
        now = asyncio.get_running_loop().time()
        for link in self._state.links:
            if not link.is_in_contact(now):
                continue
            # Only what the worker has reported counts, not our own delays.
            reported_at = link.last_contact_at or now
            runs = list(link.run_by_task.values())
            stalled = find_stalled_runs(runs, reported_at)
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
