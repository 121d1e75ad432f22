"""Chooses the runs that are preempted for an urgent task."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorydale.scheduling.placement import (
    EMPTY_LOAD,
    WorkerLoad,
    add_demands,
    fits,
    free_capacity,
)
from savorydale.scheduling.tasks import Task
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import Demand


class Preemption(NamedTuple):
    """A VM, and the runs to evict from it."""

    worker: str
    victims: tuple[str, ...]


def is_evictable(task: Task) -> bool:
    """Return whether a task may be preempted by an urgent one."""
    return task.kind == "job" and not task.urgent


def free_capacity_for_urgent(
    vm: VmStatus, load: WorkerLoad, tasks: Iterable[Task]
) -> Demand:
    """Return the free capacity of a VM after preemption by an urgent run."""
    free = free_capacity(vm, load)
    for task in tasks:
        if is_evictable(task):
            free = add_demands(free, task.demand)
    return free


def plan_preemption(
    task: Task,
    vms: Iterable[VmStatus],
    load_by_worker: Mapping[str, WorkerLoad],
    tasks_by_worker: Mapping[str, list[Task]],
) -> Preemption | None:
    """Return the VM with the fewest runs to preempt, or None if the task fits on none.

    Larger runs are preempted first, so that there are few; progress since their last
    checkpoint is not considered.
    """
    best: Preemption | None = None
    for vm in vms:
        load = load_by_worker.get(vm.vm, EMPTY_LOAD)
        victims = _find_victims(task, vm, load, tasks_by_worker.get(vm.vm, []))
        if victims is None:
            continue
        if best is None or len(victims) < len(best.victims):
            best = Preemption(vm.vm, victims)
    return best


def _find_victims(
    task: Task, vm: VmStatus, load: WorkerLoad, tasks: list[Task]
) -> tuple[str, ...] | None:
    free = free_capacity(vm, load)
    victims: list[str] = []
    candidates = [item for item in tasks if is_evictable(item)]
    candidates.sort(key=lambda item: item.demand, reverse=True)
    for victim in candidates:
        if fits(task.demand, free):
            break
        free = add_demands(free, victim.demand)
        victims.append(victim.id)
    return tuple(victims) if fits(task.demand, free) else None
