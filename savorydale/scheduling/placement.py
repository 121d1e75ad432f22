"""Choice of the worker in a rack that a task runs on."""

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
    """What the tasks on one worker have been given."""

    committed: Demand
    tasks: int
    replicas_by_service: dict[str, int]


EMPTY_LOAD = WorkerLoad(ZERO_DEMAND, 0, {})


def add_demands(left: Demand, right: Demand) -> Demand:
    """Return the sum of two demands."""
    return Demand(*(a + b for a, b in zip(left, right, strict=True)))


def total_capacity(vm: VmStatus) -> Demand:
    """Return all that a VM has."""
    return Demand(vm.processors, vm.memory_gb, vm.accelerators)


def free_capacity(vm: VmStatus, load: WorkerLoad) -> Demand:
    """Return what a VM can still be given."""
    pairs = zip(total_capacity(vm), load.committed, strict=True)
    return Demand(*(size - committed for size, committed in pairs))


def fits(demand: Demand, free: Demand) -> bool:
    """Tell whether ``demand`` can be taken out of ``free``."""
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
    """Return the load of each worker that tasks are placed on."""
    load_by_worker: dict[str, WorkerLoad] = {}
    for task in tasks:
        if task.worker is not None:
            load = load_by_worker.get(task.worker, EMPTY_LOAD)
            load_by_worker[task.worker] = with_task(load, task)
    return load_by_worker


class PlacementPrediction(NamedTuple):
    """What a VM is expected to be like with a task on it.

    ``breach`` is the expected inflation of latency as a multiple of the allowed one,
    ``used`` the processors expected to be in use.
    """

    breach_ratio: float
    processors_used: float


def choose_worker(
    task: Task,
    vms: Iterable[VmStatus],
    load_by_worker: Mapping[str, WorkerLoad],
    predict: Callable[[Task, VmStatus], PlacementPrediction] | None = None,
) -> VmStatus | None:
    """Return the VM that ``task`` is placed on, or None if it fits on none.

    Workers that the task has failed on come last. Replicas of a service are spread.
    Work goes where it is expected to inflate latency least, and then to the VM with
    most processors free; a run that is not urgent goes to no VM where latency would
    be far over its limit, or where the processors are expected to be used up.

    Parameters
    ----------
    task : Task
        What is to be placed.
    vms : iterable of VmStatus
        VMs that may be used.
    load_by_worker : mapping of str to WorkerLoad
        What has been given away on each VM.
    look_ahead : callable, optional
        Returns the outlook for the task on a VM; without it nothing is expected
        but what is declared.
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
    """Choose a VM; a task that must start gets one at the lowest pace if need be.

    Returns
    -------
    tuple of (Task, VmStatus or None)
        The task as it is to be started, and the VM, or None if it fits on none.
    """
    candidates = list(vms)
    task = task._replace(slow_start=False)
    chosen = choose_worker(task, candidates, load_by_worker, predict)
    if chosen is not None or not task.must_start:
        return task, chosen
    slow = task._replace(slow_start=True)
    return slow, choose_worker(slow, candidates, load_by_worker, predict)


def _is_acceptable(task: Task, prediction: PlacementPrediction, vm: VmStatus) -> bool:
    """Tell whether a task may go where it is expected to do harm."""
    if task.kind == "service" or task.urgent:
        return True
    if prediction.processors_used > vm.processors:
        return False
    return task.slow_start or prediction.breach_ratio <= MAX_BREACH_RATIO


def check_not_overcommitted(
    vms: Iterable[VmStatus], load_by_worker: dict[str, WorkerLoad]
) -> None:
    """Raise if a VM has been given more than it has."""
    for vm in vms:
        load = load_by_worker.get(vm.vm, EMPTY_LOAD)
        check(
            fits(load.committed, total_capacity(vm)),
            "worker %s of size %s was given %s",
            vm.vm,
            total_capacity(vm),
            load.committed,
        )
