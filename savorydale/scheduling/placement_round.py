"""Places several tasks of one rack, one after the other."""

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
    """The task has a VM."""

    task: Task


class Preempt(NamedTuple):
    """The urgent task gets a VM once some runs have left it."""

    preemption: Preemption


class NoCapacity(NamedTuple):
    """The rack has no place for the task."""


Placement = Placed | Preempt | NoCapacity


class PlacementRound:
    """What the rack's VMs have been given, kept up while tasks are placed.

    Parameters
    ----------
    vms : iterable of VmStatus
        VMs that may be used.
    tasks : iterable of Task
        Tasks that are placed already.
    report_by_task : dict of str to TaskReport
        What workers have said of them.
    colocation : RackColocation
        Expects what a task does to a VM.
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
        """Return where a task goes, and count it there."""
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
        """Place nothing more on some workers."""
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
