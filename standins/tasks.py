"""In-memory tasks of one worker with leases, fencing epochs and checkpoints."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

JsonObject = dict[str, Any]


USAGE_LAG_SECONDS = 5.0


class StaleCommandError(Exception):
    """The command carries an older epoch or attempt than a previous command."""


@dataclass
class StandinTask:
    """One task; times are in seconds on the worker's clock."""

    task_id: str
    kind: str
    name: str
    attempt: int
    state: str
    started_at: float
    lease_expires_at: float
    run_seconds: float
    progress_at_start: float
    checkpoint: str | None
    processors: float = 0.0
    speed: float = 1.0


class TaskTable:
    """Tasks on one worker; jobs stop when their lease expires, services do not."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._task_by_id: dict[str, StandinTask] = {}
        self._epoch_by_rack: dict[str, int] = {}
        self._lagging_usage: JsonObject = {}
        self._usage_sampled_at = clock() - USAGE_LAG_SECONDS
        self.completions: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()

    def heartbeat(self, request: JsonObject) -> JsonObject:
        """Renew leases and report all tasks."""
        self._check_epoch(request)
        self.advance()
        for task_id, attempt in request["attempt_by_task"].items():
            task = self._task_by_id.get(task_id)
            if task is None or task.attempt != attempt:
                continue
            if request["granted_from"] is not None:
                expires_at = request["granted_from"] + request["lease_seconds"]
                task.lease_expires_at = max(task.lease_expires_at, expires_at)
        reports = {
            task.task_id: self._report(task) for task in self._task_by_id.values()
        }
        return {"clock": self._clock(), "tasks": reports}

    def start(self, request: JsonObject) -> None:
        """Start a task unless the same attempt was already started."""
        self._check_epoch(request)
        self.advance()
        existing = self._task_by_id.get(request["task"])
        if existing is not None and existing.attempt > request["attempt"]:
            raise StaleCommandError(f"attempt {existing.attempt} was started")
        if existing is not None and existing.attempt == request["attempt"]:
            return
        checkpoint = request["checkpoint"]
        progress = float(checkpoint.rpartition("@")[2]) if checkpoint else 0.0
        now = self._clock()
        self.starts[request["task"]] += 1
        self._task_by_id[request["task"]] = StandinTask(
            request["task"],
            request["kind"],
            request["name"],
            request["attempt"],
            "running",
            now,
            request["granted_from"] + request["lease_seconds"],
            request["run_seconds"],
            progress,
            checkpoint,
            (request["demand"] or {}).get("processors", 0.0),
            request.get("pace", 1.0),
        )

    def stop(self, request: JsonObject) -> JsonObject:
        """Write a checkpoint, stop the task, and report it."""
        self._check_epoch(request)
        self.advance()
        task = self._task_by_id.get(request["task"])
        if task is None or task.attempt < request["attempt"]:
            return {
                "attempt": request["attempt"],
                "state": "stopped",
                "progress": 0.0,
                "checkpoint": None,
            }
        if task.attempt > request["attempt"]:
            raise StaleCommandError(f"attempt {task.attempt} was started")
        if task.state == "running":
            self._end(task, "stopped")
        return self._report(task)

    def throttle(self, request: JsonObject) -> JsonObject:
        """Set the speed of a task, 1.0 being full speed, and report the task."""
        self._check_epoch(request)
        self.advance()
        task = self._task_by_id.get(request["task"])
        if task is None or task.attempt != request["attempt"]:
            raise StaleCommandError("the attempt does not run here")
        now = self._clock()
        task.progress_at_start = self._progress(task, now)
        task.started_at = now
        task.speed = request["pace"]
        return self._report(task)

    def usage(self) -> JsonObject:
        """Return the processors that each running task uses."""
        self.advance()
        return {
            task.task_id: task.processors * task.speed
            for task in self._task_by_id.values()
            if task.state == "running"
        }

    def total_job_speed(self) -> float:
        """Return the sum of the speeds of all running jobs."""
        self.advance()
        return sum(
            task.speed
            for task in self._task_by_id.values()
            if task.kind == "job" and task.state == "running"
        )

    def lagging_usage(self) -> JsonObject:
        """Return the usage, which is up to ``USAGE_LAG_SECONDS`` old."""
        now = self._clock()
        if now - self._usage_sampled_at >= USAGE_LAG_SECONDS:
            self._lagging_usage = self.usage()
            self._usage_sampled_at = now
        return self._lagging_usage

    def advance(self) -> None:
        """End tasks that have finished or whose lease has expired."""
        now = self._clock()
        for task in self._task_by_id.values():
            if task.state != "running" or task.kind == "service":
                continue
            finishes_at = task.started_at + self._remaining_seconds_at_start(task)
            if finishes_at <= min(now, task.lease_expires_at):
                task.state = "done"
                self.completions[task.task_id] += 1
            elif task.lease_expires_at <= now:
                self._end(task, "lapsed", task.lease_expires_at)

    def clear(self) -> None:
        """Remove all tasks, as when the VM is terminated."""
        self.advance()
        self._task_by_id.clear()

    def runs_service(self, name: str) -> bool:
        """Return whether a replica of a service runs here."""
        return any(
            task.kind == "service" and task.name == name and task.state == "running"
            for task in self._task_by_id.values()
        )

    def running(self) -> list[str]:
        """Return the ids of the running tasks."""
        self.advance()
        return [
            task.task_id
            for task in self._task_by_id.values()
            if task.state == "running"
        ]

    def _check_epoch(self, request: JsonObject) -> None:
        rack, epoch = request["rack"], request["epoch"]
        newest_epoch = self._epoch_by_rack.get(rack, 0)
        if epoch < newest_epoch:
            raise StaleCommandError(f"epoch {newest_epoch} of rack {rack} was seen")
        self._epoch_by_rack[rack] = epoch

    def _remaining_seconds_at_start(self, task: StandinTask) -> float:
        return task.run_seconds * (1 - task.progress_at_start) / task.speed

    def _progress(self, task: StandinTask, now: float) -> float:
        if task.kind == "service":
            return 0.0
        progress_since_start = (now - task.started_at) * task.speed / task.run_seconds
        return min(1.0, task.progress_at_start + progress_since_start)

    def _end(self, task: StandinTask, state: str, at: float | None = None) -> None:
        progress = self._progress(task, self._clock() if at is None else at)
        task.state = state
        if task.kind == "job":
            task.checkpoint = f"{task.task_id}#{task.attempt}@{progress:.6f}"

    def _report(self, task: StandinTask) -> JsonObject:
        progress = 0.0
        if task.checkpoint is not None:
            progress = float(task.checkpoint.rpartition("@")[2])
        return {
            "attempt": task.attempt,
            "state": task.state,
            "progress": progress,
            "checkpoint": task.checkpoint,
            "pace": task.speed,
            "processors_used": self.lagging_usage().get(task.task_id),
        }
