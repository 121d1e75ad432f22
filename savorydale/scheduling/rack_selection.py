"""Selects the rack to which a task is assigned."""

import random
from typing import NamedTuple

from savorydale.scheduling.placement import ZERO_DEMAND, add_demands, fits
from savorydale.scheduling.tasks import Task
from savorydale.workers.interface import Demand

SAMPLED_RACKS = 16


class RackView(NamedTuple):
    """What a rack's owner last published about it.

    ``free`` is the free capacity of each VM, ``urgent`` that for an urgent run after
    preemption.
    """

    epoch: int
    version: int
    free: tuple[Demand, ...]
    replicas_by_service: dict[str, int]
    urgent: tuple[Demand, ...] = ()

    @property
    def free_processors(self) -> float:
        """Return the sum of free processors on all VMs of the rack."""
        return sum(free.processors for free in self.free)


class RackSelector:
    """Selects racks by their owners' last summaries and by assignments since then.

    Parameters
    ----------
    rng : random.Random
        Samples the racks to compare.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._racks: list[str] = []
        self._view_by_rack: dict[str, RackView] = {}
        self._assigned_by_rack: dict[str, Demand] = {}
        self._assigned_replicas: dict[tuple[str, str], int] = {}

    def update_view(self, rack: str, view: RackView) -> None:
        """Replace the view of a rack, unless a newer one is known."""
        previous = self._view_by_rack.get(rack)
        if previous is not None and previous[:2] > view[:2]:
            return
        if previous is None:
            self._racks.append(rack)
        self._view_by_rack[rack] = view
        self._assigned_by_rack.pop(rack, None)
        for key in [key for key in self._assigned_replicas if key[0] == rack]:
            del self._assigned_replicas[key]

    def retain(self, racks: set[str]) -> None:
        """Remove all racks that are not in ``racks``."""
        for rack in set(self._view_by_rack) - racks:
            del self._view_by_rack[rack]
            self._racks.remove(rack)

    def choose(self, task: Task, excluded: frozenset[str]) -> str | None:
        """Return the rack for ``task``, or None if it fits into no rack.

        ``excluded`` are racks that have just returned the task. A run of a job is
        assigned to the rack with the most free processors among a random sample, or
        among all if it fits into none of the sample. Replicas of a service are
        assigned to racks with few of them.
        """
        best = None
        if task.kind == "job" and len(self._racks) > SAMPLED_RACKS:
            sample = self._rng.sample(self._racks, SAMPLED_RACKS)
            best = self._choose_among(sample, task, excluded)
        if best is None:
            best = self._choose_among(self._racks, task, excluded)
        if best is None and task.urgent:
            best = self._choose_for_preemption(task, excluded)
        if best is not None:
            self._record_assignment(best, task)
        return best

    def _choose_for_preemption(
        self, task: Task, excluded: frozenset[str]
    ) -> str | None:
        """Return a random rack into which an urgent task fits after preemption."""
        racks = [
            rack
            for rack in self._racks
            if rack not in excluded
            and any(fits(task.demand, free) for free in self._view_by_rack[rack].urgent)
        ]
        return self._rng.choice(racks) if racks else None

    def _choose_among(
        self, racks: list[str], task: Task, excluded: frozenset[str]
    ) -> str | None:
        best: str | None = None
        best_rank: tuple[float, ...] = ()
        for rack in racks:
            view = self._view_by_rack[rack]
            if rack in excluded or not any(
                fits(task.demand, free) for free in view.free
            ):
                continue
            assigned = self._assigned_by_rack.get(rack, ZERO_DEMAND)
            free_processors = view.free_processors - assigned.processors
            if free_processors < task.demand.processors:
                continue
            replicas = view.replicas_by_service.get(task.name, 0)
            replicas += self._assigned_replicas.get((rack, task.name), 0)
            rank = (replicas / max(1, len(view.free)), -free_processors)
            if best is None or rank < best_rank:
                best, best_rank = rack, rank
        return best

    def _record_assignment(self, rack: str, task: Task) -> None:
        assigned = self._assigned_by_rack.get(rack, ZERO_DEMAND)
        self._assigned_by_rack[rack] = add_demands(assigned, task.demand)
        if task.kind == "service":
            key = (rack, task.name)
            self._assigned_replicas[key] = self._assigned_replicas.get(key, 0) + 1
