"""Collects the eligible workers of each service for one planning round."""

import collections
import operator
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.placement.choice import (
    Candidate,
    is_busy,
    is_full,
    is_mostly_unreserved,
)
from savorydale.scheduler.state import SchedulerState

# If this many replicas fit, a service leaves no headroom and may be ranked as overdue.
AMPLE_CAPACITY_TASKS = 2


class Demand(NamedTuple):
    """What one task needs of a worker's free capacity, or what is free."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int


class FreeCapacity:
    """The capacity of workers that was free when a planning round began.

    During the round, free capacity only shrinks. Each demand is looked up once, since
    thousands of waiting steps have few different ones.
    """

    def __init__(self, candidates: Sequence[Candidate]):
        self._free = [
            Demand(
                load.capacity.cpu_millicores - load.cpu_millicores,
                load.capacity.memory_mb - load.memory_mb,
                load.capacity.accelerators - load.accelerators,
            )
            for load in (candidate.load for candidate in candidates)
        ]
        self._largest = Demand(
            *(max((free[n] for free in self._free), default=0) for n in range(3))
        )
        self._count_by_demand: dict[Demand, int] = {}

    def may_fit(self, spec: StepSpec) -> bool:
        """Return whether a task of a step may have fitted on one of the workers.

        Backfill reserves no CPU; whether a worker has enough is not looked at.
        """
        cpu_millicores = 0 if spec.backfill else spec.cpu_millicores
        demand = Demand(cpu_millicores, spec.memory_mb, spec.accelerators)
        return self._count_fitting(demand) > 0

    def was_ample_for(self, spec: StepSpec) -> bool:
        """Return whether at least `AMPLE_CAPACITY_TASKS` tasks of a step fitted."""
        demand = Demand(spec.cpu_millicores, spec.memory_mb, 0)
        return self._count_fitting(demand) >= AMPLE_CAPACITY_TASKS

    def _count_fitting(self, demand: Demand) -> int:
        """Return how many tasks fitted, `AMPLE_CAPACITY_TASKS` at most."""
        if any(map(operator.gt, demand, self._largest)):
            return 0
        count = self._count_by_demand.get(demand)
        if count is None:
            count = self._count_by_demand[demand] = self._count(demand)
        return count

    def _count(self, demand: Demand) -> int:
        cpu_millicores, memory_mb, accelerators = demand
        count = 0
        for free_millicores, free_mb, free_accelerators in self._free:
            if free_millicores < cpu_millicores or free_mb < memory_mb:
                continue
            if free_accelerators < accelerators:
                continue
            has_two = free_millicores >= 2 * cpu_millicores and (
                free_mb >= 2 * memory_mb
            )
            count += AMPLE_CAPACITY_TASKS if has_two else 1
            if count >= AMPLE_CAPACITY_TASKS:
                return AMPLE_CAPACITY_TASKS
        return count


class Fleet(NamedTuple):
    """The workers of a service that may get tasks.

    ``is_busy`` tells whether most of their CPU is used, ``is_full`` whether nearly all
    of it is reserved, and ``is_mostly_unreserved`` whether less than half of it is.
    ``free_before`` is what was free when the round began. ``candidates`` may leave out
    workers that are held for others, or that the policy does not allow;
    ``all_candidates`` has them all. ``last_resort`` has the quarantined workers as its
    candidates, if there are any.
    """

    service: str
    candidates: list[Candidate]
    all_candidates: list[Candidate]
    is_busy: bool
    is_full: bool
    is_mostly_unreserved: bool
    free_before: FreeCapacity
    last_resort: "Fleet | None" = None
    is_last_resort: bool = False

    def fits(self, spec: StepSpec) -> bool:
        """Return whether a task of a step fits on one of the workers."""
        return any(candidate.load.fits(spec) for candidate in self.candidates)

    def usable_for(
        self, spec: StepSpec, count_by_worker: collections.Counter[str]
    ) -> list[Candidate]:
        """Return the workers on which a task of a step fits, as its constraints ask.

        ``count_by_worker`` counts the step's tasks on each worker.
        """
        usable = [each for each in self.candidates if each.load.fits(spec)]
        if spec.required_label:
            usable = [each for each in usable if spec.required_label in each.labels]
        if spec.max_per_worker:
            usable = [
                each
                for each in usable
                if count_by_worker[each.worker] < spec.max_per_worker
            ]
        return usable

    def has_ample_capacity_for(self, spec: StepSpec) -> bool:
        """Return whether at least `AMPLE_CAPACITY_TASKS` tasks of a step fit."""
        if not self.free_before.was_ample_for(spec):
            return False
        task_count = 0
        for candidate in self.all_candidates:
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
            fleet = self._collect(service)
            self._fleet_by_service[service] = fleet
        return fleet

    def _collect(self, service: str) -> Fleet:
        candidates, quarantined = self._state.candidates(service, self._now)
        fleet = _make_fleet(service, candidates, candidates)
        if not quarantined:
            return fleet
        last_resort = _make_fleet(service, quarantined, [*candidates, *quarantined])
        return fleet._replace(last_resort=last_resort._replace(is_last_resort=True))


def _make_fleet(
    service: str, candidates: list[Candidate], all_candidates: list[Candidate]
) -> Fleet:
    return Fleet(
        service,
        candidates,
        all_candidates,
        is_busy(all_candidates),
        is_full(all_candidates),
        is_mostly_unreserved(all_candidates),
        FreeCapacity(all_candidates),
    )
