"""State of all jobs that have not ended, in the memory of the scheduling entry.

The ledger decides nothing about where or when tasks run. It follows what is assigned
and how runs end, and says which rows must be written before anyone may act on it.
"""

import collections
import dataclasses
from collections.abc import Iterator
from enum import StrEnum

from savorydale.invariants import check
from savorydale.jobs.model import (
    QueueSettings,
    StepSpec,
    TaskId,
)
from savorydale.jobs.rows import (
    JobRow,
    JobStatus,
    StateRow,
    TaskRow,
    cancel_key,
    encode_state,
    encode_step,
    job_key,
    state_key,
    step_key,
)
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.storage.rows import RowKey, RowWrite


@dataclasses.dataclass(slots=True)
class Task:
    """Progress of one task.

    ``worker`` is set while a run is assigned. ``excluded_workers`` are those where the
    task has failed.
    """

    id: TaskId
    done: bool = False
    run: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    excluded_workers: frozenset[str] = frozenset()
    wait_started_at: float = 0.0

    @property
    def is_waiting(self) -> bool:
        """Return whether the task needs a worker."""
        return not self.done and not self.worker

    def to_row(self) -> TaskRow:
        """Return the durable part."""
        return TaskRow(self.done, self.run, self.failures, self.worker, self.checkpoint)


class StepProgress:
    """Tasks of one step of one occurrence.

    ``has_started`` tells whether a task of the step was ever assigned.
    """

    def __init__(self, job: "JobProgress", occurrence: int, number: int):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.row.spec.steps[number]
        self.tasks = [
            Task(TaskId(job.id, occurrence, number, index))
            for index in range(self.spec.task_count)
        ]
        self.unfinished_count = self.spec.task_count
        self.has_started = False

    @property
    def key(self) -> RowKey:
        """Return the name of the step's row."""
        return step_key(self.job.id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks have succeeded."""
        return self.unfinished_count == 0

    @property
    def is_ready(self) -> bool:
        """Return whether all earlier steps that this one needs have succeeded."""
        steps = self.job.steps_of(self.occurrence)
        return all(steps[number].is_done for number in self.spec.after)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that need a worker."""
        return [task for task in self.tasks if task.is_waiting]

    def count_by_worker(self) -> collections.Counter[str]:
        """Return how many tasks each worker holds."""
        return collections.Counter(task.worker for task in self.tasks if task.worker)

    def mark_done(self, task: Task) -> None:
        """Note that ``task`` has succeeded."""
        if not task.done:
            task.done = True
            self.unfinished_count -= 1


class JobProgress:
    """One job that has not ended, or whose last runs are being stopped.

    ``added_at`` is when the scheduler first knew of it, on the loop's clock.
    ``critical_path_seconds`` is the estimated run time of its longest chain of steps.
    """

    def __init__(self, job: str, row: JobRow, status: JobStatus, added_at: float):
        self.id = job
        self.row = row
        self.status = status
        self.added_at = added_at
        self._critical_path_seconds_by_step = row.spec.critical_path_seconds_by_step()
        self.critical_path_seconds = max(
            self._critical_path_seconds_by_step, default=0.0
        )
        self._steps_by_occurrence: dict[int, list[StepProgress]] = {}

    @property
    def queue(self) -> QueueSettings:
        """Return the queue's settings at acceptance."""
        return self.row.queue

    def steps_of(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence, created at the first use."""
        steps = self._steps_by_occurrence.get(occurrence)
        if steps is None:
            numbers = range(len(self.row.spec.steps))
            steps = [StepProgress(self, occurrence, number) for number in numbers]
            self._steps_by_occurrence[occurrence] = steps
        return steps

    def has_started(self, occurrence: int) -> bool:
        """Return whether a task of an occurrence was ever assigned."""
        return any(step.has_started for step in self.steps_of(occurrence))

    def remaining_critical_path_seconds(self, occurrence: int) -> float:
        """Return the estimated longest chain of the steps that are not done."""
        steps = self.steps_of(occurrence)
        return max(
            (
                self._critical_path_seconds_by_step[s.number]
                for s in steps
                if not s.is_done
            ),
            default=0.0,
        )

    def known_steps(self) -> Iterator[StepProgress]:
        """Iterate over the steps of all occurrences that were looked at."""
        for steps in self._steps_by_occurrence.values():
            yield from steps

    @property
    def is_idle(self) -> bool:
        """Return whether no worker holds a task of the job."""
        return not any(t.worker for step in self.known_steps() for t in step.tasks)

    def assigned_tasks(self) -> list[Task]:
        """Return the tasks that a worker holds."""
        return [
            task for step in self.known_steps() for task in step.tasks if task.worker
        ]

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds of Unix time."""
        spec = self.row.spec
        return spec.first_due_ms + occurrence * spec.interval_ms

    def due_occurrences(self, unix_ms: float) -> range:
        """Return the occurrences that may run at ``unix_ms``."""
        spec = self.row.spec
        if not spec.is_scheduled:
            return range(1)
        if unix_ms < spec.first_due_ms:
            return range(0)
        if spec.interval_ms <= 0:
            return range(spec.occurrence_count)
        due = int((unix_ms - spec.first_due_ms) // spec.interval_ms) + 1
        return range(min(due, spec.occurrence_count))

    def ready_steps(self, unix_ms: float) -> Iterator[StepProgress]:
        """Iterate over the steps that have waiting tasks whose turn has come."""
        if self.status.is_terminal:
            return
        for occurrence in self.due_occurrences(unix_ms):
            for step in self.steps_of(occurrence):
                if not step.is_done and step.is_ready:
                    yield step

    @property
    def is_complete(self) -> bool:
        """Return whether all occurrences have succeeded."""
        count = self.row.spec.occurrence_count if self.row.spec.is_scheduled else 1
        return all(
            step.is_done
            for occurrence in range(count)
            for step in self.steps_of(occurrence)
        )


class EndEffect(StrEnum):
    """What the end of a run meant for its task."""

    STALE = "stale"
    SUCCEEDED = "succeeded"
    WAITS_AGAIN = "waits_again"
    GAVE_UP = "gave_up"


class JobTracker:
    """All jobs that have not ended, and the rows that must be written."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, JobProgress] = {}
        self._changed_steps: dict[RowKey, StepProgress] = {}
        self._changed_states: dict[str, StateRow] = {}
        self._removed: dict[RowKey, None] = {}

    @property
    def has_changes(self) -> bool:
        """Return whether rows must be written."""
        return bool(self._changed_steps or self._changed_states or self._removed)

    def add(self, job: str, row: JobRow, status: JobStatus, now: float) -> JobProgress:
        """Take in an accepted job, or return it if it is known."""
        known = self.job_by_id.get(job)
        if known is not None:
            return known
        progress = JobProgress(job, row, status, now)
        self.job_by_id[job] = progress
        return progress

    def restore_step(
        self, job: JobProgress, occurrence: int, number: int, rows: list[TaskRow]
    ) -> None:
        """Set the progress of a step to what its row says."""
        step = job.steps_of(occurrence)[number]
        for task, row in zip(step.tasks, rows, strict=False):
            task.run = row.run
            task.failures = row.failures
            task.worker = row.worker
            task.checkpoint = row.checkpoint
            step.has_started = step.has_started or row.run > 0
            if row.done:
                step.mark_done(task)

    def find_task(self, task: TaskId) -> tuple[StepProgress, Task] | None:
        """Return a task of a known job, or ``None``."""
        job = self.job_by_id.get(task.job)
        if job is None or task.step >= len(job.row.spec.steps):
            return None
        step = job.steps_of(task.occurrence)[task.step]
        if task.index >= len(step.tasks):
            return None
        return step, step.tasks[task.index]

    def assign(self, step: StepProgress, task: Task, worker: str) -> int:
        """Assign the next run of ``task`` to ``worker`` and return its number."""
        check(task.is_waiting, "task %s is assigned twice", task.id)
        task.run += 1
        task.worker = worker
        step.has_started = True
        self._changed_steps[step.key] = step
        if step.job.status is JobStatus.QUEUED:
            self._set_status(step.job, JobStatus.RUNNING, 0)
        return task.run

    def release(self, task: Task, step: StepProgress, now: float) -> None:
        """Note that the latest run of ``task`` surely does not run any more."""
        task.worker = ""
        task.wait_started_at = now
        self._changed_steps[step.key] = step

    def apply_end(self, worker: str, end: EndedRun, now: float) -> EndEffect:
        """Apply the end of a run on ``worker`` and return what it meant."""
        found = self.find_task(end.task)
        if found is None:
            return EndEffect.STALE
        step, task = found
        if task.done or task.run != end.run or task.worker not in ("", worker):
            return EndEffect.STALE
        if not task.worker and end.reason is not EndReason.DONE:
            # An earlier holder of the lease has counted this end, or the run was given
            # up when its lease had lapsed.
            return EndEffect.STALE
        self.release(task, step, now)
        if end.checkpoint and step.spec.checkpointing:
            task.checkpoint = end.checkpoint
        match end.reason:
            case EndReason.DONE if not step.spec.long_running:
                self._succeed(step, task)
                return EndEffect.SUCCEEDED
            case EndReason.FAILED if not step.spec.long_running:
                return self._count_failure(step, task, worker)
        return EndEffect.WAITS_AGAIN

    def _succeed(self, step: StepProgress, task: Task) -> None:
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            step.mark_done(member)

    def _count_failure(self, step: StepProgress, task: Task, worker: str) -> EndEffect:
        task.excluded_workers |= {worker}
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            member.failures = task.failures + 1 if member is task else member.failures
        failures = max(member.failures for member in members)
        if failures < step.job.queue.max_attempts:
            return EndEffect.WAITS_AGAIN
        return EndEffect.GAVE_UP

    def finish(self, job: JobProgress, status: JobStatus, ended_ms: int) -> None:
        """Record the final state of a job; its runs may still be stopping."""
        self._set_status(job, status, ended_ms)

    def remove_if_idle(self, job: JobProgress) -> bool:
        """Drop an ended job once no worker holds a run of it."""
        if not job.status.is_terminal or not job.is_idle:
            return False
        del self.job_by_id[job.id]
        self._removed[job_key(job.id)] = None
        self._removed[cancel_key(job.id)] = None
        for step in job.known_steps():
            self._changed_steps.pop(step.key, None)
            self._removed[step.key] = None
        return True

    def take_changes(self) -> list[RowWrite]:
        """Return what must be written, and regard it as written."""
        writes = [
            RowWrite(key, encode_step([task.to_row() for task in step.tasks]))
            for key, step in self._changed_steps.items()
        ]
        writes += [
            RowWrite(state_key(job), encode_state(row))
            for job, row in self._changed_states.items()
        ]
        writes += [RowWrite(key, None) for key in self._removed]
        self._changed_steps.clear()
        self._changed_states.clear()
        self._removed.clear()
        return writes

    def _set_status(self, job: JobProgress, status: JobStatus, ended_ms: int) -> None:
        job.status = status
        self._changed_states[job.id] = StateRow(job.queue.name, status, ended_ms)
