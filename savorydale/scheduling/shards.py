"""Decides when tasks run and which rack they go to, for one shard of the jobs."""

import asyncio
import datetime
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from savorydale.counters import Counters
from savorydale.scheduling.backoff import backoff_seconds
from savorydale.scheduling.owned_row import CommitResult, OwnedRow
from savorydale.scheduling.rack_choice import RackChoice
from savorydale.scheduling.schedules import due_runs, next_due
from savorydale.scheduling.tasks import (
    HISTORY_PREFIX,
    HISTORY_TTL_SECONDS,
    RACK_KIND,
    Mail,
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
REMEMBERED_RUNS = 50
NO_ROOM_SECONDS = 0.5
PATIENCE_SECONDS = 600.0
NEVER = datetime.datetime.max.replace(tzinfo=datetime.UTC)

log = logging.getLogger(__name__)
EMPTY_ROW = {"tasks": {}, "last_due": {}, "results": {}, "settings_version": 0}


class DueQuestion(NamedTuple):
    """What the next due time of a job depends on."""

    schedule: str
    time_zone: str
    after: datetime.datetime


class ShardTask(NamedTuple):
    """A task of the shard, and the rack that it has been sent to."""

    task: Task
    rack: str | None = None
    stopping: bool = False


class ShardScheduler:
    """The only writer of one shard's row.

    The row says which settings it was written under; an owner whose settings are
    older moves tasks on but starts and stops none.

    Parameters
    ----------
    row : OwnedRow
        The shard's row.
    rack_choice : RackChoice
        Chooses racks by what is known of their free sizes.
    get_tree : callable
        Returns the settings in force.
    clock : WallClock
        Time of day.
    counters : Counters
        Receives counts of runs by outcome.
    """

    def __init__(
        self,
        row: OwnedRow,
        rack_choice: RackChoice,
        get_tree: Callable[[], SettingsTree],
        clock: WallClock,
        counters: Counters,
    ):
        self.row = row
        self.shard = int(row.owned.unit.partition("/")[2])
        self.item_by_task: dict[str, ShardTask] = {}
        self.result_by_run: dict[str, str] = {}
        self._rack_choice = rack_choice
        self._get_tree = get_tree
        self._clock = clock
        self._counters = counters
        self._tree = EMPTY_TREE
        self._settings_version = 0
        self._jobs: list[Workload] = []
        self._services: list[Workload] = []
        self._services_unsettled = False
        self._last_due_by_job: dict[str, datetime.datetime] = {}
        self._next_due_by_job: dict[str, tuple[DueQuestion, datetime.datetime]] = {}
        self._not_before_by_task: dict[str, float] = {}
        self._full_racks_by_task: dict[str, frozenset[str]] = {}
        self._waiting_since_by_task: dict[str, float] = {}
        self._mail: asyncio.Queue[dict[str, Row]] = asyncio.Queue()
        self._changed = asyncio.Event()

    def deliver(self, row_by_key: dict[str, Row]) -> None:
        """Take all mail rows of the shard, as last scanned."""
        self._mail.put_nowait(row_by_key)
        self._changed.set()

    def wake_up(self) -> None:
        """Look at schedules and racks at once."""
        self._changed.set()

    async def run(self) -> None:
        """Load the shard's row, then keep its tasks moving for ever."""
        await self._load()
        while True:
            if self.row.epoch is not None:
                self._step()
                await self._commit()
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()

    def _step(self) -> None:
        while not self._mail.empty():
            self._take_mail(self._mail.get_nowait())
        self._take_tree(self._get_tree())
        if self._tree.version == 0 or self._tree.version < self._settings_version:
            return
        self._settings_version = self._tree.version
        self._add_due_runs()
        if self._services_unsettled:
            self._adjust_services()
        self._assign()

    def _take_tree(self, tree: SettingsTree) -> None:
        """Pick out the shard's own jobs and services when the settings move."""
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
        self._services_unsettled = True

    async def _load(self) -> None:
        value = await self.row.load() or EMPTY_ROW
        self._services_unsettled = True
        self.item_by_task = {
            key: ShardTask(task_from_json(item), rack, stopping)
            for key, (item, rack, stopping) in value["tasks"].items()
        }
        self._last_due_by_job = {
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
                job: due.isoformat() for job, due in self._last_due_by_job.items()
            },
            "results": self.result_by_run,
            "settings_version": self._settings_version,
        }

    def _add_due_runs(self) -> None:
        now = self._clock.now()
        for job in self._jobs:
            after = self._last_due_by_job.get(job.name)
            if after is None:
                self._last_due_by_job[job.name] = now
                self.row.touch()
                continue
            if self._next_due(job, after) > now:
                continue
            for due in due_runs(job.values, after, now):
                self._add_run(job, f"{job.name}@{due:%Y-%m-%dT%H:%MZ}")
            self._last_due_by_job[job.name] = now
            self.row.touch()

    def _next_due(self, job: Workload, after: datetime.datetime) -> datetime.datetime:
        """Return when a job is next due, computed once for each schedule and run."""
        question = DueQuestion(job.values["schedule"], job.values["time_zone"], after)
        known = self._next_due_by_job.get(job.name)
        if known is None or known[0] != question:
            due = next_due(job.values, after) or NEVER
            known = self._next_due_by_job[job.name] = (question, due)
        return known[1]

    def _add_run(self, job: Workload, run_id: str) -> None:
        if run_id in self.item_by_task or run_id in self.result_by_run:
            return
        self.item_by_task[run_id] = ShardTask(make_task(job, "job", run_id))
        self._counters.increment("runs.due")
        self.row.touch()

    def _adjust_services(self) -> None:
        self._services_unsettled = False
        wanted: set[str] = set()
        for service in self._services:
            for number in range(service.values["replicas"]):
                task_id = f"{service.name}.{number}"
                wanted.add(task_id)
                if task_id not in self.item_by_task:
                    task = make_task(service, "service", task_id)
                    self.item_by_task[task_id] = ShardTask(task)
                    self.row.touch()
        for task_id, item in list(self.item_by_task.items()):
            if item.task.kind == "service" and task_id not in wanted:
                self._stop(task_id, item)

    def _stop(self, task_id: str, item: ShardTask) -> None:
        if item.rack is None:
            del self.item_by_task[task_id]
            self.row.touch()
            return
        if item.stopping:
            return
        self.item_by_task[task_id] = item._replace(stopping=True)
        self.row.send(f"{RACK_KIND}/{item.rack}", Mail("stop", item.task))

    def _assign(self) -> None:
        now = asyncio.get_running_loop().time()
        waiting = [
            item
            for item in self.item_by_task.values()
            if item.rack is None
            and self._not_before_by_task.get(item.task.id, 0.0) <= now
        ]
        if not waiting:
            return
        teams = TeamUsage(self._running_tasks())
        for item in teams.in_order(waiting):
            if not teams.may_start(item.task, self._quota_of(item.task.team)):
                self._not_before_by_task[item.task.id] = now + NO_ROOM_SECONDS
                self._counters.increment("tasks.waiting.quota")
                continue
            excluded = self._full_racks_by_task.get(item.task.id, frozenset())
            rack = self._rack_choice.choose(item.task, excluded)
            if rack is None:
                self._full_racks_by_task.pop(item.task.id, None)
                self._not_before_by_task[item.task.id] = now + NO_ROOM_SECONDS
                self._counters.increment("tasks.waiting.no_room")
                continue
            teams.add(item.task)
            task = self._with_patience(item.task, now)
            self.item_by_task[task.id] = item._replace(task=task, rack=rack)
            self.row.send(f"{RACK_KIND}/{rack}", Mail("run", task))

    def _running_tasks(self) -> list[Task]:
        """Return the tasks that a rack has, or that are on their way to one."""
        items = self.item_by_task.values()
        return [item.task for item in items if item.rack is not None]

    def _quota_of(self, team: str) -> float | None:
        node = self._tree.node_by_path.get(team)
        return None if node is None else node.get("values", {}).get(QUOTA)

    def _with_patience(self, task: Task, now: float) -> Task:
        """Return the task, which starts anywhere once it has waited for long."""
        waiting_since = self._waiting_since_by_task.setdefault(task.id, now)
        return task._replace(must_start=now - waiting_since >= PATIENCE_SECONDS)

    def _take_mail(self, row_by_key: dict[str, Row]) -> None:
        for key, mail in self.row.new_mail(row_by_key):
            self.row.consume(key)
            self._take_one(mail)

    def _take_one(self, mail: Mail) -> None:
        task = mail.task
        item = self.item_by_task.get(task.id)
        if mail.reason == "submitted":
            if item is None and task.id not in self.result_by_run:
                self.item_by_task[task.id] = ShardTask(task)
                self._counters.increment("runs.submitted")
            return
        if item is None or item.rack is None:
            self._counters.increment("mail.ignored")
            return
        match mail.reason:
            case "done":
                self._finish(task, "done")
            case "stopped":
                self._end_stopped(task, item)
            case "failed":
                self._take_failure(task, mail.detail)
            case _:
                self._requeue(task, mail.reason)

    def _end_stopped(self, task: Task, item: ShardTask) -> None:
        if item.stopping:
            self._forget(task.id)
            return
        self._requeue(task, "stopped")

    def _forget(self, task_id: str) -> None:
        """Drop a task; a service may want a new one in its place."""
        del self.item_by_task[task_id]
        self._not_before_by_task.pop(task_id, None)
        self._waiting_since_by_task.pop(task_id, None)
        self._full_racks_by_task.pop(task_id, None)
        self._services_unsettled = True

    def _take_failure(self, task: Task, detail: str) -> None:
        failed = task._replace(failures=task.failures + 1)
        if task.kind == "job" and failed.failures >= failed.max_attempts:
            self._finish(failed, f"failed: {detail}")
            return
        self._requeue(failed, "failed")

    def _requeue(self, task: Task, reason: str) -> None:
        item = self.item_by_task[task.id]
        if item.stopping:
            self._forget(task.id)
            return
        if reason != "returned":
            self._waiting_since_by_task.pop(task.id, None)
        if reason == "returned" and item.rack is not None:
            full = self._full_racks_by_task.get(task.id, frozenset())
            self._full_racks_by_task[task.id] = full | {item.rack}
        if reason == "failed":
            now = asyncio.get_running_loop().time()
            delay = backoff_seconds(task.failures)
            self._not_before_by_task[task.id] = now + delay
        self.item_by_task[task.id] = ShardTask(task)
        self._counters.increment(f"tasks.requeued.{reason}")

    def _finish(self, task: Task, result: str) -> None:
        self._forget(task.id)
        if task.kind == "service":
            return
        self.result_by_run[task.id] = result
        while len(self.result_by_run) > REMEMBERED_RUNS:
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


def make_task(work: Workload, kind: str, task_id: str) -> Task:
    """Return a new task of a job or service, as the settings in force declare it."""
    values = work.values
    demand = Demand(values["processors"], values["memory_gb"], values["accelerators"])
    return Task(
        id=task_id,
        kind=kind,
        name=work.name,
        shard=shard_of(work.team),
        demand=demand,
        run_seconds=values["run_seconds"],
        urgent=values["urgent"],
        max_attempts=values["max_attempts"],
        tail_weight=values["tail_weight"],
        team=work.team,
    )
