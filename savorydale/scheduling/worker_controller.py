"""Sends heartbeats and commands to one worker of a rack."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from savorydale.exceptions import WorkerError, WorkerRefusedError
from savorydale.scheduling.colocation import Evict, Throttle
from savorydale.scheduling.leases import WorkerLease
from savorydale.scheduling.rack_colocation import initial_speed
from savorydale.scheduling.rack_tasks import RackTasks
from savorydale.scheduling.tasks import Task
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import (
    StartTask,
    StopTask,
    TaskReport,
    ThrottleTask,
    WorkerClient,
    WorkerHeartbeat,
)

HEARTBEATS_PER_LEASE = 4

log = logging.getLogger(__name__)


class WorkerController:
    """Makes one worker run the tasks that the rack's row places on it.

    Parameters
    ----------
    worker : str
        Name of the VM.
    tasks : RackTasks
        Tasks of the rack.
    client : WorkerClient
        Sends commands to workers.
    lease_seconds : float
        Duration of a task's lease.
    commit : callable
        Commits the rack's row.
    publish : callable
        Publishes the rack's summary after a task has started.
    """

    def __init__(
        self,
        worker: str,
        tasks: RackTasks,
        client: WorkerClient,
        lease_seconds: float,
        commit: Callable[[], Awaitable[None]],
        publish: Callable[[], None],
    ):
        self._worker = worker
        self._tasks = tasks
        self._client = client
        self._lease_seconds = lease_seconds
        self._commit = commit
        self._publish = publish
        self._woken = asyncio.Event()
        self._lease = WorkerLease(lease_seconds, asyncio.get_running_loop().time())

    def wake(self) -> None:
        """Synchronize with the worker without waiting for the next heartbeat."""
        self._woken.set()

    async def run(self) -> None:
        """Synchronize with the worker several times per lease, until cancelled."""
        interval = self._lease_seconds / HEARTBEATS_PER_LEASE
        while True:
            if self._tasks.row.epoch is not None:
                await self._synchronize()
                await self._commit()
            try:
                async with asyncio.timeout(interval):
                    await self._woken.wait()
            except TimeoutError:
                pass
            self._woken.clear()

    async def _synchronize(self) -> None:
        vm = self._tasks.directory.vm_by_name.get(self._worker)
        if vm is None or vm.state == "gone":
            self._end_tasks_as_lost("gone")
            return
        try:
            await self._send_heartbeat(vm)
            await self._start_tasks(vm)
            await self._stop_tasks(vm)
            await self._review_colocation(vm)
        except WorkerRefusedError as error:
            self._tasks.counters.increment("workers.refused_commands")
            log.warning("worker refused a command: %s", error)
        except WorkerError:
            self._tasks.counters.increment("workers.heartbeats_failed")
            self._tasks.unreachable_workers.add(self._worker)
            self._check_lease()

    def _end_tasks_as_lost(self, reason: str) -> None:
        for task in self._tasks.tasks_on(self._worker):
            self._tasks.end_task(task, "lost", f"worker {self._worker} is {reason}")

    def _check_lease(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._lease.has_lapsed(now):
            self._end_tasks_as_lost("unreachable")

    async def _send_heartbeat(self, vm: VmStatus) -> None:
        epoch = self._tasks.row.epoch
        if epoch is None:
            return
        attempt_by_task = {
            task.id: task.attempt
            for task in self._tasks.reported_tasks_on(self._worker)
        }
        heartbeat = WorkerHeartbeat(
            self._tasks.rack,
            epoch,
            self._lease_seconds,
            self._lease.granted_from,
            attempt_by_task,
        )
        report = await self._client.heartbeat(vm.address, heartbeat)
        self._lease.record_report(report.clock, asyncio.get_running_loop().time())
        self._tasks.unreachable_workers.discard(self._worker)
        self._tasks.counters.increment("workers.heartbeats")
        for task in self._tasks.tasks_on(self._worker):
            self._tasks.handle_report(task, report.report_by_task.get(task.id))
        await self._stop_orphaned_runs(vm, report.report_by_task)

    async def _stop_orphaned_runs(
        self, vm: VmStatus, report_by_task: dict[str, TaskReport]
    ) -> None:
        """Stop runs that the rack's row does not assign to the worker."""
        for task_id, report in report_by_task.items():
            current = self._tasks.task_by_id.get(task_id)
            if current is not None and current.worker == vm.vm:
                continue
            epoch = self._tasks.row.epoch
            if report.state != "running" or epoch is None:
                continue
            self._tasks.counters.increment("tasks.strangers_stopped")
            command = StopTask(task_id, report.attempt, self._tasks.rack, epoch)
            await self._client.stop(vm.address, command)

    async def _start_tasks(self, vm: VmStatus) -> None:
        for task in self._tasks.tasks_on(self._worker):
            epoch = self._tasks.row.epoch
            if epoch is None or self._lease.granted_from is None:
                return
            if task.id in self._tasks.report_by_task:
                continue
            if self._tasks.committed_attempt_by_task.get(task.id) != task.attempt:
                continue
            await self._start_task(task, vm, epoch, self._lease.granted_from)

    async def _start_task(
        self, task: Task, vm: VmStatus, epoch: int, granted_from: float
    ) -> None:
        command = StartTask(
            task.id,
            task.kind,
            task.name,
            task.attempt,
            self._tasks.rack,
            epoch,
            task.demand,
            task.run_seconds,
            task.checkpoint,
            granted_from,
            self._lease_seconds,
            initial_speed(task),
        )
        try:
            await self._client.start(vm.address, command)
        except WorkerRefusedError as error:
            self._tasks.end_task(task, "failed", str(error))
            return
        now = asyncio.get_running_loop().time()
        self._tasks.quarantine.record_start(task.id, now)
        self._tasks.report_by_task[task.id] = TaskReport(
            task.attempt,
            "running",
            task.progress,
            task.checkpoint,
            pace=initial_speed(task),
        )
        self._tasks.counters.increment("tasks.started")
        self._publish()

    async def _stop_tasks(self, vm: VmStatus) -> None:
        """Checkpoint and stop the tasks to be stopped or evicted."""
        accepts_work = self._tasks.directory.accepts_work(self._worker)
        for task in self._tasks.tasks_on(self._worker):
            if task.id in self._tasks.stop_key_by_task:
                await self._stop(task, vm, "stopped")
            elif task.id in self._tasks.preempted_tasks:
                await self._stop(task, vm, "evicted")
                self._tasks.counters.increment("preemption.evicted")
            elif not accepts_work:
                await self._stop(task, vm, "evicted")

    async def _review_colocation(self, vm: VmStatus) -> None:
        """Throttle, speed up or evict a run to protect the services on the same VM."""
        tasks = self._tasks.reported_tasks_on(self._worker)
        match self._tasks.colocation.review(vm, tasks, self._tasks.report_by_task):
            case Throttle(task_id, speed):
                await self._throttle(self._tasks.task_by_id[task_id], vm, speed)
            case Evict(task_id):
                task = self._tasks.task_by_id[task_id].with_avoided_worker(self._worker)
                task = task._replace(latency_evictions=task.latency_evictions + 1)
                await self._stop(task, vm, "evicted")
                self._tasks.counters.increment("colocation.evicted")

    async def _throttle(self, task: Task, vm: VmStatus, speed: float) -> None:
        epoch = self._tasks.row.epoch
        if epoch is None:
            return
        command = ThrottleTask(task.id, task.attempt, self._tasks.rack, epoch, speed)
        report = await self._client.throttle(vm.address, command)
        current = self._tasks.report_by_task.get(task.id)
        if current is None or current.attempt != report.attempt:
            return
        self._tasks.report_by_task[task.id] = report
        change = "slowed" if speed < current.pace else "sped_up"
        self._tasks.counters.increment(f"colocation.{change}")

    async def _stop(self, task: Task, vm: VmStatus, reason: str) -> None:
        epoch = self._tasks.row.epoch
        if epoch is None:
            return
        command = StopTask(task.id, task.attempt, self._tasks.rack, epoch)
        report = await self._client.stop(vm.address, command)
        if report.state == "done":
            self._tasks.end_task(task, "done")
            return
        if report.checkpoint is not None:
            task = task._replace(checkpoint=report.checkpoint, progress=report.progress)
        self._tasks.end_task(task, reason)
