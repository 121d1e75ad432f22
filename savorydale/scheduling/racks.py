"""Places tasks on the workers of one rack, and writes the rack's row."""

import asyncio
from collections.abc import Callable
from typing import Any

from savorydale.counters import Counters
from savorydale.scheduling.owned_row import CommitResult, OwnedRow
from savorydale.scheduling.placement import check_not_overcommitted, compute_loads
from savorydale.scheduling.placement_round import (
    NoCapacity,
    Placed,
    PlacementRound,
    Preempt,
)
from savorydale.scheduling.preemption import Preemption
from savorydale.scheduling.rack_colocation import RackColocation
from savorydale.scheduling.rack_summary import RackSummaryBody
from savorydale.scheduling.rack_tasks import PendingPreemption, RackTasks
from savorydale.scheduling.tasks import Task, task_from_json
from savorydale.scheduling.worker_controller import WorkerController
from savorydale.storage.interface import Row, VmStatus
from savorydale.workers.directory import Directory
from savorydale.workers.interface import WorkerClient

PREEMPTION_TIMEOUT_SECONDS = 3.0


class RackScheduler:
    """The only writer of a rack's row, and the only sender of commands to its workers.

    Parameters
    ----------
    row : OwnedRow
        The rack's row.
    client : WorkerClient
        Sends commands to workers.
    directory : Directory
        VMs of the rack and their states.
    lease_seconds : float
        Duration of a task's lease.
    publish : callable
        Called with this scheduler when its services or free capacity have changed.
    colocation : RackColocation
        Predicts interference, and decides which tasks to throttle or evict.
    counters : Counters
        Counts started, ended and failed tasks.
    """

    def __init__(
        self,
        row: OwnedRow,
        client: WorkerClient,
        directory: Directory,
        lease_seconds: float,
        publish: Callable[["RackScheduler"], None],
        colocation: RackColocation,
        counters: Counters,
    ):
        self.row = row
        self.tasks = RackTasks(row, directory, colocation, counters)
        self.tasks.end_listeners.append(self._handle_task_end)
        self._client = client
        self._lease_seconds = lease_seconds
        self._publish = publish
        self._counters = counters
        self._unread_rows: dict[str, Row] | None = None
        self._changed = asyncio.Event()
        self._controller_by_worker: dict[str, WorkerController] = {}
        self._previous_usable_vms: list[str] = []

    @property
    def rack(self) -> str:
        """Return the name of the rack."""
        return self.tasks.rack

    def vms(self) -> list[VmStatus]:
        """Return the VMs of the rack that have not been removed."""
        return self.tasks.vms()

    def summary(self) -> RackSummaryBody:
        """Return the summary of the rack for the other entries."""
        return self.tasks.summary()

    def deliver(self, row_by_key: dict[str, Row]) -> None:
        """Hand over all outbox rows of the rack from the last scan."""
        self._unread_rows = row_by_key
        self._changed.set()

    def refresh_vms(self) -> None:
        """Start controllers for new VMs of the rack."""
        self._changed.set()

    def wake_worker(self, worker: str) -> None:
        """Synchronize with a worker without waiting for its next heartbeat."""
        controller = self._controller_by_worker.get(worker)
        if controller is not None:
            controller.wake()

    async def run(self) -> None:
        """Load the rack's row, then handle messages and run the worker controllers."""
        await self._load()
        async with asyncio.TaskGroup() as group:
            while True:
                self._start_controllers(group)
                await self._changed.wait()
                self._changed.clear()
                rows, self._unread_rows = self._unread_rows, None
                if self.row.epoch is not None:
                    self._retry_preemptions()
                    if rows is not None:
                        self._handle_messages(rows)
                    await self._commit()

    def _start_controllers(self, group: asyncio.TaskGroup) -> None:
        names = {vm.vm for vm in self.vms()}
        names |= {task.worker for task in self.tasks.task_by_id.values() if task.worker}
        for worker in names - set(self._controller_by_worker):
            controller = WorkerController(
                worker,
                self.tasks,
                self._client,
                self._lease_seconds,
                self._commit_and_publish,
                lambda: self._publish(self),
            )
            self._controller_by_worker[worker] = controller
            group.create_task(controller.run())

    async def _load(self) -> None:
        value = await self.row.load() or {"tasks": {}}
        self.tasks.load(
            {key: task_from_json(item) for key, item in value["tasks"].items()}
        )
        self._publish(self)

    def _handle_task_end(self) -> None:
        """Check waiting urgent tasks, since an ended task frees capacity."""
        if self.tasks.pending_by_key:
            self._changed.set()

    async def _commit_and_publish(self) -> None:
        """Commit a controller's changes; publish if the usable VMs have changed."""
        usable = [vm.vm for vm in self.tasks.usable_vms()]
        if usable != self._previous_usable_vms:
            self._previous_usable_vms = usable
            self._publish(self)
        await self._commit()

    async def _commit(self) -> None:
        attempt_by_task: dict[str, int] = {}

        def make_value() -> dict[str, Any]:
            # Called once earlier commits have finished; tasks may have changed by then.
            nonlocal attempt_by_task
            attempt_by_task = self.tasks.attempt_by_task()
            check_not_overcommitted(
                self.vms(), compute_loads(self.tasks.task_by_id.values())
            )
            tasks = {task.id: task.to_json() for task in self.tasks.task_by_id.values()}
            return {"tasks": tasks}

        match await self.row.commit(make_value):
            case CommitResult.CONFLICT:
                await self._load()
            case CommitResult.RETRY:
                return
            case CommitResult.UNCHANGED:
                return
            case CommitResult.COMMITTED:
                if attempt_by_task != self.tasks.committed_attempt_by_task:
                    self.tasks.committed_attempt_by_task = attempt_by_task
                    self._publish(self)
                    self._wake_workers_to_start()

    def _wake_workers_to_start(self) -> None:
        for task in self.tasks.task_by_id.values():
            if task.id not in self.tasks.report_by_task and task.worker is not None:
                self.wake_worker(task.worker)

    def _handle_messages(self, row_by_key: dict[str, Row]) -> None:
        new = self.row.new_messages(row_by_key)
        to_start = [
            (key, message.task) for key, message in new if message.reason != "stop"
        ]
        to_start.sort(key=lambda item: not item[1].urgent)
        placement_round = self._start_round()
        for key, task in to_start:
            self._place(key, task, placement_round)
        # Stops come last, since the start of the same task may be in this batch.
        for key, message in new:
            if message.reason == "stop":
                self._handle_stop(key, message.task)

    def _start_round(self) -> PlacementRound:
        pending = self.tasks.pending_by_key.values()
        return self.tasks.start_round({item.preemption.worker for item in pending})

    def _place(self, key: str, task: Task, placement_round: PlacementRound) -> None:
        current = self.tasks.task_by_id.get(task.id)
        if current is not None:
            # A service that was moved to another team arrives from another shard.
            if current.shard != task.shard:
                self._return_to_shard(key, task)
            return
        match placement_round.place(task):
            case Placed(placed):
                self.row.consume(key)
                self.tasks.task_by_id[placed.id] = placed
                if self.tasks.quarantine.is_restricted(placed.worker):
                    placement_round.exclude({placed.worker})
            case Preempt(preemption):
                self._preempt(key, task, preemption)
            case NoCapacity():
                self._return_to_shard(key, task)

    def _return_to_shard(self, key: str, task: Task) -> None:
        self.row.consume(key)
        self._counters.increment("tasks.returned")
        self.tasks.send_to_shard(task, "returned", "no room")

    def _preempt(self, key: str, task: Task, preemption: Preemption) -> None:
        """Let an urgent task wait until the runs to preempt have been evicted."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + PREEMPTION_TIMEOUT_SECONDS
        self.tasks.pending_by_key[key] = PendingPreemption(task, preemption, give_up_at)
        loop.call_at(give_up_at, self._changed.set)
        self._counters.increment("preemption.planned")
        self.wake_worker(preemption.worker)

    def _retry_preemptions(self) -> None:
        """Place urgent tasks whose preemption is complete; return those timed out."""
        now = asyncio.get_running_loop().time()
        for key, pending in list(self.tasks.pending_by_key.items()):
            has_timed_out = now >= pending.give_up_at
            if not has_timed_out and any(
                victim in self.tasks.task_by_id for victim in pending.preemption.victims
            ):
                continue
            del self.tasks.pending_by_key[key]
            if has_timed_out:
                self._counters.increment("preemption.given_up")
                self._return_to_shard(key, pending.task)
            else:
                self._place(key, pending.task, self._start_round())

    def _cancel_pending(self, task: Task) -> None:
        """Cancel the placement of a task that waits for a preemption."""
        for key, pending in list(self.tasks.pending_by_key.items()):
            if pending.task.id == task.id:
                del self.tasks.pending_by_key[key]
                self.row.consume(key)

    def _handle_stop(self, key: str, task: Task) -> None:
        current = self.tasks.task_by_id.get(task.id)
        if current is None or current.worker is None:
            self._cancel_pending(task)
            self.row.consume(key)
            self.tasks.send_to_shard(task, "stopped")
            return
        self.tasks.stop_key_by_task[task.id] = key
        self.wake_worker(current.worker)
