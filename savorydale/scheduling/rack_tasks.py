"""Tasks of one rack, and their workers' last reports."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.scheduling.owned_row import OwnedRow
from savorydale.scheduling.placement_round import PlacementRound
from savorydale.scheduling.preemption import Preemption
from savorydale.scheduling.quarantine import Quarantine
from savorydale.scheduling.rack_colocation import RackColocation
from savorydale.scheduling.rack_summary import RackSummaryBody, summarize_rack
from savorydale.scheduling.tasks import (
    RACK_KIND,
    SHARD_KIND,
    OutboxMessage,
    Task,
    group_by_worker,
)
from savorydale.storage.interface import VmStatus
from savorydale.workers.directory import Directory
from savorydale.workers.interface import TaskReport

log = logging.getLogger(__name__)


class PendingPreemption(NamedTuple):
    """An urgent task that waits for a preemption; ``give_up_at`` is loop time."""

    task: Task
    preemption: Preemption
    give_up_at: float


class RackTasks:
    """State of one rack, shared by its scheduler and its worker controllers.

    Parameters
    ----------
    row : OwnedRow
        The rack's row.
    directory : Directory
        VMs of the rack and their states.
    colocation : RackColocation
        Predicts the interference of colocated tasks.
    counters : Counters
        Counts ended tasks by reason.
    """

    def __init__(
        self,
        row: OwnedRow,
        directory: Directory,
        colocation: RackColocation,
        counters: Counters,
    ):
        self.row = row
        self.rack = row.owned.unit.removeprefix(f"{RACK_KIND}/")
        self.directory = directory
        self.colocation = colocation
        self.counters = counters
        self.quarantine = Quarantine()
        self.task_by_id: dict[str, Task] = {}
        self.report_by_task: dict[str, TaskReport] = {}
        self.committed_attempt_by_task: dict[str, int] = {}
        self.stop_key_by_task: dict[str, str] = {}
        self.unreachable_workers: set[str] = set()
        self.pending_by_key: dict[str, PendingPreemption] = {}
        self.end_listeners: list[Callable[[], None]] = []
        self._unreported: set[str] = set()

    def load(self, task_by_id: dict[str, Task]) -> None:
        """Replace the tasks by those of the row, and discard reports of others."""
        self.pending_by_key.clear()
        self.task_by_id = task_by_id
        self.committed_attempt_by_task = self.attempt_by_task()
        self._unreported = set(task_by_id) - set(self.report_by_task)
        for task_id in set(self.report_by_task) - set(task_by_id):
            del self.report_by_task[task_id]

    @property
    def preempted_tasks(self) -> set[str]:
        """Return the runs to evict for urgent tasks."""
        return {
            victim
            for pending in self.pending_by_key.values()
            for victim in pending.preemption.victims
        }

    def attempt_by_task(self) -> dict[str, int]:
        """Return the attempt of each task."""
        return {task.id: task.attempt for task in self.task_by_id.values()}

    def tasks_on(self, worker: str) -> list[Task]:
        """Return the tasks on a worker."""
        return [task for task in self.task_by_id.values() if task.worker == worker]

    def reported_tasks_on(self, worker: str) -> list[Task]:
        """Return the tasks on a worker that have started or been reported there."""
        return [
            task for task in self.tasks_on(worker) if task.id in self.report_by_task
        ]

    def vms(self) -> list[VmStatus]:
        """Return the VMs of the rack that have not been removed."""
        return [vm for vm in self.directory.vms_of(self.rack) if vm.state != "gone"]

    def usable_vms(self) -> list[VmStatus]:
        """Return the VMs on which new tasks may be placed."""
        now = asyncio.get_running_loop().time()
        tasks_by_worker = group_by_worker(self.task_by_id.values())
        return [
            vm
            for vm in self.vms()
            if self.directory.accepts_work(vm.vm)
            and vm.vm not in self.unreachable_workers
            and self.quarantine.allows_placement(
                vm.vm, self._count_unproven(tasks_by_worker.get(vm.vm, [])), now
            )
        ]

    def _count_unproven(self, tasks: list[Task]) -> int:
        return sum(
            task.id not in self.report_by_task or self.quarantine.is_unproven(task.id)
            for task in tasks
        )

    def start_round(self, reserved: set[str]) -> PlacementRound:
        """Return a round that places no tasks on the workers in ``reserved``."""
        placement_round = PlacementRound(
            self.usable_vms(),
            self.task_by_id.values(),
            self.report_by_task,
            self.colocation,
        )
        placement_round.exclude(reserved)
        return placement_round

    def handle_report(self, task: Task, report: TaskReport | None) -> None:
        """Apply a worker's report of a task; None if the worker did not report it."""
        self._unreported.discard(task.id)
        if report is None or report.attempt < task.attempt:
            if task.id in self.report_by_task:
                self.end_task(task, "lost", "the worker does not know the task")
            return
        self.report_by_task[task.id] = report
        self.colocation.record_usage(task, report)
        if report.checkpoint is not None:
            task = task._replace(checkpoint=report.checkpoint, progress=report.progress)
            self.task_by_id[task.id] = task
        match report.state:
            case "running":
                now = asyncio.get_running_loop().time()
                self.quarantine.record_running(task.worker, task.name, task.id, now)
            case "done":
                self.end_task(task, "done")
            case "failed":
                self.end_task(task, "failed", report.reason)
            case "stopped" | "lapsed":
                self.end_task(task, "evicted", report.state)

    def end_task(self, task: Task, reason: str, detail: str = "") -> None:
        """Remove a task from the rack and hand it to its shard in the next commit."""
        current = self.task_by_id.get(task.id)
        if current is None or current.attempt != task.attempt:
            return
        del self.task_by_id[task.id]
        self._record_end(task, reason)
        stop_key = self.stop_key_by_task.pop(task.id, None)
        if stop_key is not None:
            self.row.consume(stop_key)
        self.report_by_task.pop(task.id, None)
        if reason in ("failed", "lost") and task.worker is not None:
            task = task.with_avoided_worker(task.worker)
        self.send_to_shard(task, reason, detail)
        self.counters.increment(f"tasks.{reason}")

    def _record_end(self, task: Task, reason: str) -> None:
        for listener in self.end_listeners:
            listener()
        self.quarantine.record_end(task.id)
        if task.worker is None:
            return
        if reason == "done":
            self.quarantine.record_success(task.worker, task.name)
        if reason != "failed":
            return
        now = asyncio.get_running_loop().time()
        if self.quarantine.record_failure(task.worker, task.name, now):
            self.counters.increment("workers.quarantined")
            log.warning("worker %s is quarantined after failed tasks", task.worker)

    def send_to_shard(self, task: Task, reason: str, detail: str = "") -> None:
        """Hand a task to its shard in the next commit."""
        message = OutboxMessage(reason, task._replace(worker=None), detail)
        self.row.send(f"{SHARD_KIND}/{task.shard}", message)

    def summary(self) -> RackSummaryBody:
        """Return the summary of the rack for the other entries.

        Services that the previous owner placed count as running until their workers
        have reported.
        """
        running = self._unreported | set(self.report_by_task)
        return summarize_rack(self.task_by_id.values(), running, self.usable_vms())
