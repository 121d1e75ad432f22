"""The workers of each service that may get tasks, as one round of planning has them."""

from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.placement.choice import Candidate, is_busy, is_full
from savorydale.scheduler.state import SchedulerState

PLENTY_OF_PLACES = 2  # a service with so many places is never kept waiting


class Fleet(NamedTuple):
    """The workers of a service that may get tasks, and how loaded they are together."""

    candidates: list[Candidate]
    is_busy: bool
    is_full: bool

    def has_room_for(self, spec: StepSpec) -> bool:
        """Return whether a worker has room for a task of a step."""
        return any(candidate.load.fits(spec) for candidate in self.candidates)

    def has_plenty_of_places(self, spec: StepSpec) -> bool:
        """Return whether several tasks of a step would find a worker."""
        places = 0
        for candidate in self.candidates:
            places += candidate.load.count_fitting(spec)
            if places >= PLENTY_OF_PLACES:
                return True
        return False


class Fleets:
    """The fleet of each service at one moment, collected at the first use."""

    def __init__(self, state: SchedulerState, now: float):
        self._state = state
        self._now = now
        self._fleet_by_service: dict[str, Fleet] = {}

    def of(self, service: str) -> Fleet:
        """Return the fleet of a service."""
        fleet = self._fleet_by_service.get(service)
        if fleet is None:
            candidates = self._state.candidates(service, self._now)
            fleet = Fleet(candidates, is_busy(candidates), is_full(candidates))
            self._fleet_by_service[service] = fleet
        return fleet
