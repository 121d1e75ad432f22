"""Decides when the tasks of one shard run and to which rack they are assigned."""

import asyncio
import datetime
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from savorydale.counters import Counters
from savorydale.scheduling.backoff import backoff_seconds
from savorydale.scheduling.owned_row import CommitResult, OwnedRow
from savorydale.scheduling.rack_selection import RackSelector
from savorydale.scheduling.schedules import due_runs, next_due
from savorydale.scheduling.tasks import (
    HISTORY_PREFIX,
    HISTORY_TTL_SECONDS,
    RACK_KIND,
    OutboxMessage,
    Task,
    shard_of,
    task_from_json,
)
from savorydale.scheduling.team_usage import TeamUsage
from savorydale.settings.checks import QUOTA
from savorydale.settings.tree import EMPTY_TREE, SettingsTree, Workload
from savorydale.storage.interface import Row, Write
from savorydale.utils.wall_clock import WallClock
from savorydale.workers.interface import Demand

TICK_SECONDS = 1.0
MAX_STORED_RESULTS = 50
ASSIGN_RETRY_SECONDS = 0.5
MUST_START_AFTER_SECONDS = 600.0
NEVER = datetime.datetime.max.replace(tzinfo=datetime.UTC)

log = logging.getLogger(__name__)
EMPTY_ROW = {"tasks": {}, "last_due": {}, "results": {}, "settings_version": 0}


class DueTimeKey(NamedTuple):
    """Cache key: the values on which the next due time of a job depends."""

    schedule: str
    time_zone: str
    after: datetime.datetime


class ShardTask(NamedTuple):
    """A task of the shard, and the rack to which it is assigned."""

    task: Task
    rack: str | None = None
    stopping: bool = False


class ShardScheduler:
    """The only writer of one shard's row.

    The row holds the version of the settings with which it was written. An owner with
    older settings still handles messages, but starts and stops no tasks.

    Parameters
    ----------
    row : OwnedRow
        The shard's row.
    rack_selector : RackSelector
        Selects racks by their free capacity.
    get_tree : callable
        Returns the current settings tree.
    clock : WallClock
        Wall clock.
    counters : Counters
        Counts runs by outcome.
    """

    def __init__(
        self,
        row: OwnedRow,
        rack_selector: RackSelector,
        get_tree: Callable[[], SettingsTree],
        clock: WallClock,
        counters: Counters,
    ):
        self.row = row
        self.shard = int(row.owned.unit.partition("/")[2])
        self.item_by_task: dict[str, ShardTask] = {}
        self.result_by_run: dict[str, str] = {}
        self._rack_selector = rack_selector
        self._get_tree = get_tree
        self._clock = clock
        self._counters = counters
        self._tree = EMPTY_TREE
        self._settings_version = 0
        self._jobs: list[Workload] = []
        self._services: list[Workload] = []
        self._services_need_adjustment = False
        self._checked_until_by_job: dict[str, datetime.datetime] = {}
        self._next_due_by_job: dict[str, tuple[DueTimeKey, datetime.datetime]] = {}
        self._retry_at_by_task: dict[str, float] = {}
        self._full_racks_by_task: dict[str, frozenset[str]] = {}
        self._first_assigned_at_by_task: dict[str, float] = {}
        self._unread_rows: asyncio.Queue[dict[str, Row]] = asyncio.Queue()
        self._changed = asyncio.Event()

    def deliver(self, row_by_key: dict[str, Row]) -> None:
        """Hand over all outbox rows of the shard from the last scan."""
        self._unread_rows.put_nowait(row_by_key)
        self._changed.set()

    def wake(self) -> None:
        """Check schedules and waiting tasks without waiting for the next tick."""
        self._changed.set()

    async def run(self) -> None:
        """Load the shard's row, then schedule its tasks until cancelled."""
        await self._load()
        while True:
            if self.row.epoch is not None:
                self._advance()
                await self._commit()
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()

    def _advance(self) -> None:
        while not self._unread_rows.empty():
            self._handle_messages(self._unread_rows.get_nowait())
        self._apply_settings(self._get_tree())
        if self._tree.version == 0 or self._tree.version < self._settings_version:
            return
        self._settings_version = self._tree.version
        self._add_due_runs()
        if self._services_need_adjustment:
            self._adjust_services()
        self._assign()

    def _apply_settings(self, tree: SettingsTree) -> None:
        """Select the jobs and services of the shard if the settings have changed."""
        if tree is self._tree:
            return
        self._tree = tree
        self._jobs = [
            job
            for job in tree.job_by_name.values()
            if "schedule" in job.values and shard_of(job.team) == self.shard
        ]
        self._services = [
            service
            for service in tree.service_by_name.values()
            if shard_of(service.team) == self.shard
        ]
        self._services_need_adjustment = True

    async def _load(self) -> None:
        value = await self.row.load() or EMPTY_ROW
        self._services_need_adjustment = True
        self.item_by_task = {
            key: ShardTask(task_from_json(item), rack, stopping)
            for key, (item, rack, stopping) in value["tasks"].items()
        }
        self._checked_until_by_job = {
            job: datetime.datetime.fromisoformat(text)
            for job, text in value["last_due"].items()
        }
        self.result_by_run = dict(value["results"])
        self._settings_version = value["settings_version"]

    async def _commit(self) -> None:
        result = await self.row.commit(self._to_json)
        if result is CommitResult.CONFLICT:
            await self._load()

    def _to_json(self) -> dict[str, Any]:
        return {
            "tasks": {
                key: [item.task.to_json(), item.rack, item.stopping]
                for key, item in self.item_by_task.items()
            },
            "last_due": {
                job: due.isoformat() for job, due in self._checked_until_by_job.items()
            },
            "results": self.result_by_run,
            "settings_version": self._settings_version,
        }

    def _add_due_runs(self) -> None:
        now = self._clock.now()
        for job in self._jobs:
            after = self._checked_until_by_job.get(job.name)
            if after is None:
                self._checked_until_by_job[job.name] = now
                self.row.mark_changed()
                continue
            if self._next_due(job, after) > now:
                continue
            for due in due_runs(job.values, after, now):
                self._add_run(job, f"{job.name}@{due:%Y-%m-%dT%H:%MZ}")
            self._checked_until_by_job[job.name] = now
            self.row.mark_changed()

    def _next_due(self, job: Workload, after: datetime.datetime) -> datetime.datetime:
        """Return when a job is next due, cached for its schedule and last check."""
        cache_key = DueTimeKey(job.values["schedule"], job.values["time_zone"], after)
        cached = self._next_due_by_job.get(job.name)
        if cached is None or cached[0] != cache_key:
            due = next_due(job.values, after) or NEVER
            cached = self._next_due_by_job[job.name] = (cache_key, due)
        return cached[1]

    def _add_run(self, job: Workload, run_id: str) -> None:
        if run_id in self.item_by_task or run_id in self.result_by_run:
            return
        self.item_by_task[run_id] = ShardTask(make_task(job, "job", run_id))
        self._counters.increment("runs.due")
        self.row.mark_changed()

    def _adjust_services(self) -> None:
        self._services_need_adjustment = False
        desired: set[str] = set()
        for service in self._services:
            for number in range(service.values["replicas"]):
                task_id = f"{service.name}.{number}"
                desired.add(task_id)
                if task_id not in self.item_by_task:
                    task = make_task(service, "service", task_id)
                    self.item_by_task[task_id] = ShardTask(task)
                    self.row.mark_changed()
        for task_id, item in list(self.item_by_task.items()):
            if item.task.kind == "service" and task_id not in desired:
                self._stop(task_id, item)

    def _stop(self, task_id: str, item: ShardTask) -> None:
        if item.rack is None:
            del self.item_by_task[task_id]
            self.row.mark_changed()
            return
        if item.stopping:
            return
        self.item_by_task[task_id] = item._replace(stopping=True)
        self.row.send(f"{RACK_KIND}/{item.rack}", OutboxMessage("stop", item.task))

    def _assign(self) -> None:
        now = asyncio.get_running_loop().time()
        waiting = [
            item
            for item in self.item_by_task.values()
            if item.rack is None
            and self._retry_at_by_task.get(item.task.id, 0.0) <= now
        ]
        if not waiting:
            return
        teams = TeamUsage(self._assigned_tasks())
        for item in teams.in_start_order(waiting):
            if not teams.fits_quota(item.task, self._quota_of(item.task.team)):
                self._retry_at_by_task[item.task.id] = now + ASSIGN_RETRY_SECONDS
                self._counters.increment("tasks.waiting.quota")
                continue
            excluded = self._full_racks_by_task.get(item.task.id, frozenset())
            rack = self._rack_selector.choose(item.task, excluded)
            if rack is None:
                self._full_racks_by_task.pop(item.task.id, None)
                self._retry_at_by_task[item.task.id] = now + ASSIGN_RETRY_SECONDS
                self._counters.increment("tasks.waiting.no_room")
                continue
            teams.add(item.task)
            task = self._with_must_start(item.task, now)
            self.item_by_task[task.id] = item._replace(task=task, rack=rack)
            self.row.send(f"{RACK_KIND}/{rack}", OutboxMessage("run", task))

    def _assigned_tasks(self) -> list[Task]:
        """Return the tasks that are assigned to a rack."""
        items = self.item_by_task.values()
        return [item.task for item in items if item.rack is not None]

    def _quota_of(self, team: str) -> float | None:
        node = self._tree.node_by_path.get(team)
        return None if node is None else node.get("values", {}).get(QUOTA)

    def _with_must_start(self, task: Task, now: float) -> Task:
        """Return the task; it must start if it was first assigned long ago."""
        first_assigned_at = self._first_assigned_at_by_task.setdefault(task.id, now)
        return task._replace(
            must_start=now - first_assigned_at >= MUST_START_AFTER_SECONDS
        )

    def _handle_messages(self, row_by_key: dict[str, Row]) -> None:
        for key, message in self.row.new_messages(row_by_key):
            self.row.consume(key)
            self._handle_message(message)

    def _handle_message(self, message: OutboxMessage) -> None:
        task = message.task
        item = self.item_by_task.get(task.id)
        if message.reason == "submitted":
            if item is None and task.id not in self.result_by_run:
                self.item_by_task[task.id] = ShardTask(task)
                self._counters.increment("runs.submitted")
            return
        if item is None or item.rack is None:
            self._counters.increment("mail.ignored")
            return
        match message.reason:
            case "done":
                self._finish(task, "done")
            case "stopped":
                self._handle_stopped(task, item)
            case "failed":
                self._handle_failure(task, message.detail)
            case _:
                self._requeue(task, message.reason)

    def _handle_stopped(self, task: Task, item: ShardTask) -> None:
        if item.stopping:
            self._remove_task(task.id)
            return
        self._requeue(task, "stopped")

    def _remove_task(self, task_id: str) -> None:
        """Remove a task, and check whether its service needs a new replica."""
        del self.item_by_task[task_id]
        self._retry_at_by_task.pop(task_id, None)
        self._first_assigned_at_by_task.pop(task_id, None)
        self._full_racks_by_task.pop(task_id, None)
        self._services_need_adjustment = True

    def _handle_failure(self, task: Task, detail: str) -> None:
        failed = task._replace(failures=task.failures + 1)
        if task.kind == "job" and failed.failures >= failed.max_attempts:
            self._finish(failed, f"failed: {detail}")
            return
        self._requeue(failed, "failed")

    def _requeue(self, task: Task, reason: str) -> None:
        item = self.item_by_task[task.id]
        if item.stopping:
            self._remove_task(task.id)
            return
        if reason != "returned":
            self._first_assigned_at_by_task.pop(task.id, None)
        if reason == "returned" and item.rack is not None:
            full_racks = self._full_racks_by_task.get(task.id, frozenset())
            self._full_racks_by_task[task.id] = full_racks | {item.rack}
        if reason == "failed":
            now = asyncio.get_running_loop().time()
            delay = backoff_seconds(task.failures)
            self._retry_at_by_task[task.id] = now + delay
        self.item_by_task[task.id] = ShardTask(task)
        self._counters.increment(f"tasks.requeued.{reason}")

    def _finish(self, task: Task, result: str) -> None:
        self._remove_task(task.id)
        if task.kind == "service":
            return
        self.result_by_run[task.id] = result
        while len(self.result_by_run) > MAX_STORED_RESULTS:
            del self.result_by_run[next(iter(self.result_by_run))]
        history = {
            "result": result,
            "attempts": task.attempt,
            "failures": task.failures,
            "finished": self._clock.now().isoformat(timespec="seconds"),
        }
        self.row.write(Write(HISTORY_PREFIX + task.id, history, HISTORY_TTL_SECONDS))
        outcome = result.partition(":")[0]
        self._counters.increment(f"runs.finished.{outcome}")


def make_task(workload: Workload, kind: str, task_id: str) -> Task:
    """Return a new task of a job or service with the values of its settings."""
    values = workload.values
    demand = Demand(values["processors"], values["memory_gb"], values["accelerators"])
    return Task(
        id=task_id,
        kind=kind,
        name=workload.name,
        shard=shard_of(workload.team),
        demand=demand,
        run_seconds=values["run_seconds"],
        urgent=values["urgent"],
        max_attempts=values["max_attempts"],
        tail_weight=values["tail_weight"],
        team=workload.team,
    )
