"""Places several tasks in one rack, one after the other."""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.scheduling.placement import (
    EMPTY_LOAD,
    PlacementPrediction,
    choose_worker_or_slow_start,
    compute_loads,
    with_task,
)
from savorydale.scheduling.preemption import Preemption, plan_preemption
from savorydale.scheduling.rack_colocation import RackColocation
from savorydale.scheduling.tasks import Task, group_by_worker
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import TaskReport


class Placed(NamedTuple):
    """The task was placed on a VM."""

    task: Task


class Preempt(NamedTuple):
    """The urgent task can be placed once the runs to preempt have been evicted."""

    preemption: Preemption


class NoCapacity(NamedTuple):
    """The rack has no capacity for the task."""


Placement = Placed | Preempt | NoCapacity


class PlacementRound:
    """The load of a rack's VMs, updated while tasks are placed.

    Parameters
    ----------
    vms : iterable of VmStatus
        VMs that may be used.
    tasks : iterable of Task
        Tasks that are already placed.
    report_by_task : dict of str to TaskReport
        The workers' last reports of these tasks.
    colocation : RackColocation
        Predicts the effect of a task on a VM.
    """

    def __init__(
        self,
        vms: Iterable[VmStatus],
        tasks: Iterable[Task],
        report_by_task: dict[str, TaskReport],
        colocation: RackColocation,
    ):
        placed = list(tasks)
        self._vms = list(vms)
        self._load_by_worker = compute_loads(placed)
        self._tasks_by_worker = group_by_worker(placed)
        self._report_by_task = report_by_task
        self._colocation = colocation

    def place(self, task: Task) -> Placement:
        """Return where a task is placed, and add it to the load there."""
        task, vm = choose_worker_or_slow_start(
            task, self._vms, self._load_by_worker, self._predict
        )
        if vm is not None:
            return Placed(self._add(task, vm))
        if not task.urgent:
            return NoCapacity()
        preemption = plan_preemption(
            task, self._vms, self._load_by_worker, self._tasks_by_worker
        )
        if preemption is None:
            return NoCapacity()
        self.exclude({preemption.worker})
        return Preempt(preemption)

    def exclude(self, workers: set[str]) -> None:
        """Place no more tasks on ``workers``."""
        self._vms = [vm for vm in self._vms if vm.vm not in workers]

    def _add(self, task: Task, vm: VmStatus) -> Task:
        placed = task._replace(worker=vm.vm, attempt=task.attempt + 1)
        load = self._load_by_worker.get(vm.vm, EMPTY_LOAD)
        self._load_by_worker[vm.vm] = with_task(load, placed)
        self._tasks_by_worker.setdefault(vm.vm, []).append(placed)
        return placed

    def _predict(self, task: Task, vm: VmStatus) -> PlacementPrediction:
        neighbours = self._tasks_by_worker.get(vm.vm, [])
        return self._colocation.predict(task, vm, neighbours, self._report_by_task)
