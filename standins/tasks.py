"""Tasks of one worker in memory: leases, fencing numbers and checkpoints."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

JsonObject = dict[str, Any]


USAGE_LAG_SECONDS = 5.0


class StaleCommandError(Exception):
    """The command carries an older fencing number than one seen before."""


@dataclass
class StandinTask:
    """One task; times are on the worker's clock, in seconds."""

    task: str
    kind: str
    name: str
    attempt: int
    state: str
    started_at: float
    lease_until: float
    run_seconds: float
    progress_at_start: float
    checkpoint: str | None
    processors: float = 0.0
    pace: float = 1.0


class TaskTable:
    """What runs on a worker; jobs stop when their lease lapses, services go on."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._task_by_id: dict[str, StandinTask] = {}
        self._epoch_by_rack: dict[str, int] = {}
        self._lagging_usage: JsonObject = {}
        self._usage_at = clock() - USAGE_LAG_SECONDS
        self.completions: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()

    def heartbeat(self, request: JsonObject) -> JsonObject:
        """Extend leases and report all tasks."""
        self._check_epoch(request)
        self.advance()
        for task_id, attempt in request["attempt_by_task"].items():
            task = self._task_by_id.get(task_id)
            if task is None or task.attempt != attempt:
                continue
            if request["granted_from"] is not None:
                until = request["granted_from"] + request["lease_seconds"]
                task.lease_until = max(task.lease_until, until)
        reports = {task.task: self._report(task) for task in self._task_by_id.values()}
        return {"clock": self._clock(), "tasks": reports}

    def start(self, request: JsonObject) -> None:
        """Start a task unless the same attempt has been started before."""
        self._check_epoch(request)
        self.advance()
        known = self._task_by_id.get(request["task"])
        if known is not None and known.attempt > request["attempt"]:
            raise StaleCommandError(f"attempt {known.attempt} was started")
        if known is not None and known.attempt == request["attempt"]:
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
        """Let a task run at a share of its pace from now on, and report it."""
        self._check_epoch(request)
        self.advance()
        task = self._task_by_id.get(request["task"])
        if task is None or task.attempt != request["attempt"]:
            raise StaleCommandError("the attempt does not run here")
        now = self._clock()
        task.progress_at_start = self._progress(task, now)
        task.started_at = now
        task.pace = request["pace"]
        return self._report(task)

    def usage(self) -> JsonObject:
        """Return the processors that each running task uses."""
        self.advance()
        return {
            task.task: task.processors * task.pace
            for task in self._task_by_id.values()
            if task.state == "running"
        }

    def total_job_speed(self) -> float:
        """Return the paces of all running jobs together."""
        self.advance()
        return sum(
            task.pace
            for task in self._task_by_id.values()
            if task.kind == "job" and task.state == "running"
        )

    def lagging_usage(self) -> JsonObject:
        """Return usage as it was up to ``USAGE_LAG_SECONDS`` ago."""
        now = self._clock()
        if now - self._usage_at >= USAGE_LAG_SECONDS:
            self._lagging_usage = self.usage()
            self._usage_at = now
        return self._lagging_usage

    def advance(self) -> None:
        """End tasks that have finished or whose lease has lapsed."""
        now = self._clock()
        for task in self._task_by_id.values():
            if task.state != "running" or task.kind == "service":
                continue
            finishes_at = task.started_at + self._remaining_at_start(task)
            if finishes_at <= min(now, task.lease_until):
                task.state = "done"
                self.completions[task.task] += 1
            elif task.lease_until <= now:
                self._end(task, "lapsed", task.lease_until)

    def clear(self) -> None:
        """Forget everything, as a VM does that is destroyed."""
        self.advance()
        self._task_by_id.clear()

    def runs_service(self, name: str) -> bool:
        """Tell whether a replica of a service runs here."""
        return any(
            task.kind == "service" and task.name == name and task.state == "running"
            for task in self._task_by_id.values()
        )

    def running(self) -> list[str]:
        """Return the tasks that run."""
        self.advance()
        return [
            task.task for task in self._task_by_id.values() if task.state == "running"
        ]

    def _check_epoch(self, request: JsonObject) -> None:
        rack, epoch = request["rack"], request["epoch"]
        newest = self._epoch_by_rack.get(rack, 0)
        if epoch < newest:
            raise StaleCommandError(f"epoch {newest} of rack {rack} was seen")
        self._epoch_by_rack[rack] = epoch

    def _remaining_at_start(self, task: StandinTask) -> float:
        return task.run_seconds * (1 - task.progress_at_start) / task.pace

    def _progress(self, task: StandinTask, now: float) -> float:
        if task.kind == "service":
            return 0.0
        done = (now - task.started_at) * task.pace / task.run_seconds
        return min(1.0, task.progress_at_start + done)

    def _end(self, task: StandinTask, state: str, at: float | None = None) -> None:
        progress = self._progress(task, self._clock() if at is None else at)
        task.state = state
        if task.kind == "job":
            task.checkpoint = f"{task.task}#{task.attempt}@{progress:.6f}"

    def _report(self, task: StandinTask) -> JsonObject:
        progress = 0.0
        if task.checkpoint is not None:
            progress = float(task.checkpoint.rpartition("@")[2])
        return {
            "attempt": task.attempt,
            "state": task.state,
            "progress": progress,
            "checkpoint": task.checkpoint,
            "pace": task.pace,
            "processors_used": self.lagging_usage().get(task.task),
        }
