"""Choice of the rack that a task is sent to."""

import random
from typing import NamedTuple

from savorydale.scheduling.placement import ZERO_DEMAND, add_demands, fits
from savorydale.scheduling.tasks import Task
from savorydale.workers.interface import Demand

SAMPLED_RACKS = 16


class RackView(NamedTuple):
    """What a rack's owner last said of it.

    ``free`` is one demand for each VM, ``urgent`` what an urgent run could be given
    there once others have made room.
    """

    epoch: int
    version: int
    free: tuple[Demand, ...]
    replicas_by_service: dict[str, int]
    urgent: tuple[Demand, ...] = ()

    @property
    def free_processors(self) -> float:
        """Return the processors free on all VMs of the rack."""
        return sum(free.processors for free in self.free)


class RackSelector:
    """Chooses racks by what their owners say and by what was sent there since.

    Parameters
    ----------
    rng : random.Random
        Picks the racks that are compared.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._racks: list[str] = []
        self._view_by_rack: dict[str, RackView] = {}
        self._assigned_by_rack: dict[str, Demand] = {}
        self._assigned_replicas: dict[tuple[str, str], int] = {}

    def update_view(self, rack: str, view: RackView) -> None:
        """Take what a rack's owner says, unless something newer is known."""
        known = self._view_by_rack.get(rack)
        if known is not None and known[:2] > view[:2]:
            return
        if known is None:
            self._racks.append(rack)
        self._view_by_rack[rack] = view
        self._assigned_by_rack.pop(rack, None)
        for key in [key for key in self._assigned_replicas if key[0] == rack]:
            del self._assigned_replicas[key]

    def retain(self, racks: set[str]) -> None:
        """Forget racks that are no more."""
        for rack in set(self._view_by_rack) - racks:
            del self._view_by_rack[rack]
            self._racks.remove(rack)

    def choose(self, task: Task, excluded: frozenset[str]) -> str | None:
        """Return the rack for ``task``, or None if no rack has room.

        ``excluded`` are racks that have just sent the task back. A job goes to the
        rack with most processors free among a few that are picked by chance, if one
        of them has room, and else among all. Replicas of a service go to racks
        with few of them.
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
        """Return a rack, by chance, where an urgent task fits if others leave."""
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
