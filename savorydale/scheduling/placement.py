"""Chooses the worker in a rack on which a task runs."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from savorydale.invariants import check
from savorydale.scheduling.tasks import Task
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import Demand

ZERO_DEMAND = Demand(0.0, 0.0, 0)
MAX_BREACH_RATIO = 1.5
BREACH_RATIO_STEP = 0.25


class WorkerLoad(NamedTuple):
    """Capacity that is allocated to the tasks on one worker."""

    committed: Demand
    tasks: int
    replicas_by_service: dict[str, int]


EMPTY_LOAD = WorkerLoad(ZERO_DEMAND, 0, {})


def add_demands(left: Demand, right: Demand) -> Demand:
    """Return the sum of two demands."""
    return Demand(*(a + b for a, b in zip(left, right, strict=True)))


def total_capacity(vm: VmStatus) -> Demand:
    """Return the total capacity of a VM."""
    return Demand(vm.processors, vm.memory_gb, vm.accelerators)


def free_capacity(vm: VmStatus, load: WorkerLoad) -> Demand:
    """Return the capacity of a VM that is not allocated."""
    pairs = zip(total_capacity(vm), load.committed, strict=True)
    return Demand(*(total - committed for total, committed in pairs))


def fits(demand: Demand, free: Demand) -> bool:
    """Return whether ``demand`` fits into the ``free`` capacity."""
    return all(need <= available for need, available in zip(demand, free, strict=True))


def with_task(load: WorkerLoad, task: Task) -> WorkerLoad:
    """Return ``load`` with one more task."""
    replicas = load.replicas_by_service
    if task.kind == "service":
        replicas = replicas | {task.name: replicas.get(task.name, 0) + 1}
    return WorkerLoad(
        add_demands(load.committed, task.demand), load.tasks + 1, replicas
    )


def compute_loads(tasks: Iterable[Task]) -> dict[str, WorkerLoad]:
    """Return the load of each worker on which tasks are placed."""
    load_by_worker: dict[str, WorkerLoad] = {}
    for task in tasks:
        if task.worker is not None:
            load = load_by_worker.get(task.worker, EMPTY_LOAD)
            load_by_worker[task.worker] = with_task(load, task)
    return load_by_worker


class PlacementPrediction(NamedTuple):
    """Predicted state of a VM with one more task.

    ``breach_ratio`` is the largest ratio of predicted to allowed latency inflation,
    ``processors_used`` the predicted number of processors in use.
    """

    breach_ratio: float
    processors_used: float


def choose_worker(
    task: Task,
    vms: Iterable[VmStatus],
    load_by_worker: Mapping[str, WorkerLoad],
    predict: Callable[[Task, VmStatus], PlacementPrediction] | None = None,
) -> VmStatus | None:
    """Return the VM on which ``task`` is placed, or None if it fits on none.

    Workers on which the task has failed come last. Replicas of a service are spread.
    Of the remaining VMs, the one with the least predicted latency inflation is
    chosen, then the one with the most free processors. A run that is not urgent is
    not placed on a VM where latency would be far over its limit or more processors
    would be used than the VM has.

    Parameters
    ----------
    task : Task
        Task to be placed.
    vms : iterable of VmStatus
        VMs that may be used.
    load_by_worker : mapping of str to WorkerLoad
        Allocated capacity of each VM.
    predict : callable, optional
        Returns the prediction for the task on a VM; without it, tasks are assumed
        to use what they declare and to inflate no latency.
    """
    best: VmStatus | None = None
    best_rank: tuple[float, ...] = ()
    for vm in vms:
        load = load_by_worker.get(vm.vm, EMPTY_LOAD)
        free = free_capacity(vm, load)
        if not fits(task.demand, free):
            continue
        if predict is None:
            prediction = PlacementPrediction(
                0.0, load.committed.processors + task.demand.processors
            )
        else:
            prediction = predict(task, vm)
        if not _is_acceptable(task, prediction, vm):
            continue
        rank = (
            vm.vm in task.avoided_workers,
            load.replicas_by_service.get(task.name, 0),
            round(prediction.breach_ratio / BREACH_RATIO_STEP),
            prediction.processors_used - vm.processors,
        )
        if best is None or rank < best_rank:
            best, best_rank = vm, rank
    return best


def choose_worker_or_slow_start(
    task: Task,
    vms: Iterable[VmStatus],
    load_by_worker: Mapping[str, WorkerLoad],
    predict: Callable[[Task, VmStatus], PlacementPrediction],
) -> tuple[Task, VmStatus | None]:
    """Choose a VM; if none fits, a task that must start may start at the lowest speed.

    Returns
    -------
    tuple of (Task, VmStatus or None)
        The task to start, with ``slow_start`` set if needed, and the VM, or None if
        it fits on none.
    """
    candidates = list(vms)
    task = task._replace(slow_start=False)
    chosen = choose_worker(task, candidates, load_by_worker, predict)
    if chosen is not None or not task.must_start:
        return task, chosen
    slow = task._replace(slow_start=True)
    return slow, choose_worker(slow, candidates, load_by_worker, predict)


def _is_acceptable(task: Task, prediction: PlacementPrediction, vm: VmStatus) -> bool:
    """Return whether a task may be placed on a VM despite the predicted effect."""
    if task.kind == "service" or task.urgent:
        return True
    if prediction.processors_used > vm.processors:
        return False
    return task.slow_start or prediction.breach_ratio <= MAX_BREACH_RATIO


def check_not_overcommitted(
    vms: Iterable[VmStatus], load_by_worker: dict[str, WorkerLoad]
) -> None:
    """Raise if more than a VM's capacity is allocated."""
    for vm in vms:
        load = load_by_worker.get(vm.vm, EMPTY_LOAD)
        check(
            fits(load.committed, total_capacity(vm)),
            "worker %s with capacity %s is overcommitted: %s is allocated",
            vm.vm,
            total_capacity(vm),
            load.committed,
        )
