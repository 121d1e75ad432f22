"""Finds a worker for an overdue service that has no other place.

A quarantine rests on a verdict that may be wrong, while a service that was accepted has
to run. So a service may use a quarantined worker once it is overdue, unless this very
task has failed there. It may also share a worker that is reserved for a suspect of a
crash, until the suspect starts.
"""

from savorydale.jobs.progress import StepProgress, Task
from savorydale.placement.choice import Candidate
from savorydale.placement.failed_placements import FailedPlacements
from savorydale.placement.isolation import SuspectIsolation
from savorydale.queueing.order import SERVICE_OVERDUE_SECONDS
from savorydale.scheduler.fleet import Fleet
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.turns import WaitingTasks


class LastResort:
    """The workers left out for others that overdue services may use, in one round."""

    def __init__(self, state: SchedulerState, isolation: SuspectIsolation):
        self._state = state
        self._isolation = isolation
        self._failed_placements = FailedPlacements()
        self._now = 0.0

    def begin_round(self, now: float) -> None:
        """Forget what found no worker in the last round."""
        self._failed_placements = FailedPlacements()
        self._now = now

    def find_fleet(self, waiting: WaitingTasks, fleet: Fleet) -> Fleet | None:
        """Return the workers that may take a task as a last resort, if there are any.

        Only replicas of services have a last resort, which wait one by one. A gang or a
        suspect of a crash has none.
        """
        step = waiting.step
        if not step.spec.long_running or step.spec.gang or waiting.is_suspect:
            return None
        [task] = waiting.tasks
        if not task.is_waiting or not _is_overdue(step, task, self._now):
            return None
        if self._failed_placements.covers(fleet.service, step.spec, 0.0):
            return None
        last_resort = self._collect(step, fleet)
        if not last_resort.candidates:
            return None
        usable = last_resort.usable_for(step.spec, step.count_by_worker())
        if not usable:
            self.record_failure(waiting, last_resort)
            return None
        allowed = [each for each in usable if not self._has_failed_on(task, each)]
        return last_resort._replace(candidates=allowed) if allowed else None

    def _collect(self, step: StepProgress, fleet: Fleet) -> Fleet:
        """Return the workers that a step may use as a last resort.

        Those that are reserved or quarantined count as capacity like all others.
        """
        reserved = self._isolation.candidates_to_share(step.spec, fleet.candidates)
        quarantined = fleet.last_resort
        if quarantined is None:
            return fleet._replace(candidates=reserved, is_last_resort=True)
        candidates = self._isolation.candidates_for_others(quarantined.candidates)
        return quarantined._replace(candidates=[*candidates, *reserved])

    def record_failure(self, waiting: WaitingTasks, last_resort: Fleet) -> None:
        """Record that none of these workers could take a task.

        A task that has failed on one of them tells nothing of other tasks.
        """
        [task] = waiting.tasks
        candidates = last_resort.all_candidates
        if any(self._has_failed_on(task, candidate) for candidate in candidates):
            return
        spec = waiting.step.spec
        fits = last_resort.fits(spec)
        self._failed_placements.add(last_resort.service, spec, 0.0, fits)

    def _has_failed_on(self, task: Task, candidate: Candidate) -> bool:
        if candidate.worker in task.excluded_workers:
            return True
        health = self._state.health_of(candidate.worker)
        return health.has_failed(task.id, self._now)


def _is_overdue(step: StepProgress, task: Task, now: float) -> bool:
    wait_started_at = task.wait_started_at or step.job.added_at
    return now - wait_started_at >= SERVICE_OVERDUE_SECONDS
