"""Collects the eligible workers of each service for one planning round."""

from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.placement.choice import Candidate, is_busy, is_full
from savorydale.scheduler.state import SchedulerState

# If this many replicas fit, a service leaves no headroom and may be ranked as overdue.
AMPLE_CAPACITY_TASKS = 2


class Fleet(NamedTuple):
    """The workers of a service that may get tasks.

    ``is_busy`` tells whether most of their CPU is used, and not by backfill alone,
    ``is_full`` whether nearly all of it is reserved.
    """

    candidates: list[Candidate]
    is_busy: bool
    is_full: bool

    def fits(self, spec: StepSpec) -> bool:
        """Return whether a task of a step fits on one of the workers."""
        return any(candidate.load.fits(spec) for candidate in self.candidates)

    def has_ample_capacity_for(self, spec: StepSpec) -> bool:
        """Return whether at least `AMPLE_CAPACITY_TASKS` tasks of a step fit."""
        task_count = 0
        for candidate in self.candidates:
            task_count += candidate.load.count_fitting(spec)
            if task_count >= AMPLE_CAPACITY_TASKS:
                return True
        return False


class Fleets:
    """The fleet of each service at one point in time, collected on first use."""

    def __init__(self, state: SchedulerState, now: float):
        self._state = state
        self._now = now
        self._fleet_by_service: dict[str, Fleet] = {}

    def for_service(self, service: str) -> Fleet:
        """Return the fleet of a service."""
        fleet = self._fleet_by_service.get(service)
        if fleet is None:
            candidates = self._state.candidates(service, self._now)
            fleet = Fleet(candidates, is_busy(candidates), is_full(candidates))
            self._fleet_by_service[service] = fleet
        return fleet
