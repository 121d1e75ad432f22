"""Summary of a rack, which its owner publishes to the other entries."""

import json
from collections.abc import Iterable
from typing import TypedDict

from savorydale.scheduling.placement import EMPTY_LOAD, compute_loads, free_capacity
from savorydale.scheduling.preemption import free_capacity_for_urgent
from savorydale.scheduling.tasks import Task, group_by_worker
from savorydale.storage.interface import VmStatus


class RackSummaryBody(TypedDict):
    """Workers by service, and the free capacity of each usable VM.

    ``urgent`` is the capacity for urgent runs, which includes that of runs they can
    preempt. Each item of both lists holds processors, memory in gigabytes and
    accelerators.
    """

    services: dict[str, list[str]]
    free: list[list[float]]
    urgent: list[list[float]]


def summarize_rack(
    tasks: Iterable[Task], running: set[str], usable_vms: Iterable[VmStatus]
) -> RackSummaryBody:
    """Return the summary of a rack.

    Parameters
    ----------
    tasks : iterable of Task
        All tasks in the rack's row.
    running : set of str
        Identifiers of the tasks that count as running.
    usable_vms : iterable of VmStatus
        VMs that new tasks may be placed on.
    """
    all_tasks = list(tasks)
    workers_by_service: dict[str, list[str]] = {}
    for task in all_tasks:
        if task.kind == "service" and task.id in running and task.worker is not None:
            workers_by_service.setdefault(task.name, []).append(task.worker)
    loads = compute_loads(all_tasks)
    tasks_by_worker = group_by_worker(all_tasks)
    free = []
    urgent = []
    for vm in usable_vms:
        load = loads.get(vm.vm, EMPTY_LOAD)
        free.append(list(free_capacity(vm, load)))
        on_vm = tasks_by_worker.get(vm.vm, [])
        urgent.append(list(free_capacity_for_urgent(vm, load, on_vm)))
    return RackSummaryBody(services=workers_by_service, free=free, urgent=urgent)


def encode_summary(body: RackSummaryBody) -> str:
    """Return a summary as the JSON text of a peer message."""
    return json.dumps(body, separators=(",", ":"))


def decode_summary(text: str) -> RackSummaryBody:
    """Return the summary in the JSON text of a peer message."""
    return json.loads(text)
