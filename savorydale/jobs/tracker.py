"""In-memory state of all jobs that have not ended, kept by the scheduling entry.

The tracker does not decide where or when tasks run. It records assignments and ends of
runs, and collects the rows that must be committed before these changes are acted on.
"""

import collections
import dataclasses
from collections.abc import Iterator
from enum import StrEnum

from savorydale.exceptions import RowFormatError
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

    ``worker`` is set while a run is assigned. ``excluded_workers`` are the workers on
    which the task has failed. ``wait_started_at`` is when it was last requeued, on the
    loop's clock; 0 if it never was.
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
        """Return the state that is stored."""
        return TaskRow(self.done, self.run, self.failures, self.worker, self.checkpoint)


class StepProgress:
    """Tasks of one step of one occurrence.

    ``has_started`` is true once a task of the step was assigned.
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
        """Return the key of the step's row."""
        return step_key(self.job.id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks have succeeded."""
        return self.unfinished_count == 0

    @property
    def is_ready(self) -> bool:
        """Return whether all predecessors of the step have succeeded."""
        steps = self.job.steps_of(self.occurrence)
        return all(steps[number].is_done for number in self.spec.after)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that need a worker."""
        return [task for task in self.tasks if task.is_waiting]

    def count_by_worker(self) -> collections.Counter[str]:
        """Return how many tasks are assigned to each worker."""
        return collections.Counter(task.worker for task in self.tasks if task.worker)

    def mark_done(self, task: Task) -> None:
        """Record that ``task`` has succeeded."""
        if not task.done:
            task.done = True
            self.unfinished_count -= 1


class JobProgress:
    """A job that has not ended, or whose last runs are being stopped.

    ``added_at`` is when the scheduler first knew of it, on the loop's clock.
    ``critical_path_seconds`` is the estimated run time of the longest chain of
    dependent steps.
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
        self._done_count = 0  # all occurrences below this one are done
        self._next_occurrence = 0  # earlier ones are open or done
        self._open_occurrences: dict[int, None] = {}

    @property
    def queue(self) -> QueueSettings:
        """Return the queue's settings when the job was accepted."""
        return self.row.queue

    def steps_of(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence; they are created on first use."""
        steps = self._steps_by_occurrence.get(occurrence)
        if steps is None:
            numbers = range(len(self.row.spec.steps))
            steps = [StepProgress(self, occurrence, number) for number in numbers]
            self._steps_by_occurrence[occurrence] = steps
        return steps

    def has_task(self, task: TaskId) -> bool:
        """Return whether ``task`` is one of the job's tasks."""
        steps = self.row.spec.steps
        return (
            0 <= task.occurrence < self.occurrence_count
            and 0 <= task.step < len(steps)
            and 0 <= task.index < steps[task.step].task_count
        )

    def has_started(self, occurrence: int) -> bool:
        """Return whether a task of an occurrence was ever assigned."""
        return any(step.has_started for step in self.steps_of(occurrence))

    def remaining_critical_path_seconds(self, occurrence: int) -> float:
        """Return the estimated critical path of the steps that are not done."""
        steps = self.steps_of(occurrence)
        return max(
            (
                self._critical_path_seconds_by_step[step.number]
                for step in steps
                if not step.is_done
            ),
            default=0.0,
        )

    def known_steps(self) -> Iterator[StepProgress]:
        """Iterate over the steps of all occurrences that were used so far."""
        for steps in self._steps_by_occurrence.values():
            yield from steps

    @property
    def is_idle(self) -> bool:
        """Return whether no task of the job is assigned."""
        return not any(
            task.worker for step in self.known_steps() for task in step.tasks
        )

    def assigned_tasks(self) -> list[Task]:
        """Return the tasks that are assigned to a worker."""
        return [
            task for step in self.known_steps() for task in step.tasks if task.worker
        ]

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since the Unix epoch."""
        spec = self.row.spec
        return spec.first_due_ms + occurrence * spec.interval_ms

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run."""
        return self.row.spec.occurrence_count if self.row.spec.is_scheduled else 1

    def count_due(self, unix_ms: float) -> int:
        """Return how many occurrences are due at ``unix_ms``."""
        spec = self.row.spec
        if not spec.is_scheduled:
            return 1
        if unix_ms < spec.first_due_ms:
            return 0
        if spec.interval_ms <= 0:
            return spec.occurrence_count
        due = int((unix_ms - spec.first_due_ms) // spec.interval_ms) + 1
        return min(due, spec.occurrence_count)

    def ready_steps(self, unix_ms: float, max_occurrences: int) -> list[StepProgress]:
        """Return the due, unfinished steps whose predecessors are done.

        At most ``max_occurrences`` unfinished occurrences are considered.
        """
        if self.status.is_terminal:
            return []
        due_count = self.count_due(unix_ms)
        self._open_due_occurrences(due_count, max_occurrences)
        # The wall clock may have jumped back since an occurrence was opened.
        return [
            step
            for occurrence in self._open_occurrences
            if occurrence < due_count
            for step in self.steps_of(occurrence)
            if not step.is_done and step.is_ready
        ]

    def _open_due_occurrences(self, due_count: int, max_occurrences: int) -> None:
        """Close the occurrences that are done and open due ones in their place."""
        for occurrence in list(self._open_occurrences):
            if self._is_occurrence_done(occurrence):
                del self._open_occurrences[occurrence]
        while (
            self._next_occurrence < due_count
            and len(self._open_occurrences) < max_occurrences
        ):
            if not self._is_occurrence_done(self._next_occurrence):
                self._open_occurrences[self._next_occurrence] = None
            self._next_occurrence += 1

    def _is_occurrence_done(self, occurrence: int) -> bool:
        steps = self._steps_by_occurrence.get(occurrence)
        return steps is not None and all(step.is_done for step in steps)

    @property
    def has_failed(self) -> bool:
        """Return whether a task has used up its attempts."""
        max_attempts = self.queue.max_attempts
        return any(
            task.failures >= max_attempts
            for step in self.known_steps()
            if not step.spec.long_running
            for task in step.tasks
        )

    @property
    def is_complete(self) -> bool:
        """Return whether all occurrences have succeeded."""
        while self._is_occurrence_done(self._done_count):
            self._done_count += 1
        return self._done_count >= self.occurrence_count


class EndEffect(StrEnum):
    """Effect of the end of a run on its task."""

    STALE = "stale"
    SUCCEEDED = "succeeded"
    REQUEUED = "waits_again"
    GAVE_UP = "gave_up"


class JobTracker:
    """All jobs that have not ended, and their rows that are not written yet."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, JobProgress] = {}
        self._changed_steps: dict[RowKey, StepProgress] = {}
        self._changed_states: dict[str, StateRow] = {}
        self._deleted_rows: dict[RowKey, None] = {}

    @property
    def has_changes(self) -> bool:
        """Return whether there are rows to write."""
        return bool(self._changed_steps or self._changed_states or self._deleted_rows)

    def add(self, job: str, row: JobRow, status: JobStatus, now: float) -> JobProgress:
        """Add an accepted job, or return the known job."""
        known = self.job_by_id.get(job)
        if known is not None:
            return known
        progress = JobProgress(job, row, status, now)
        self.job_by_id[job] = progress
        return progress

    def restore_step(self, job: JobProgress, key: str, rows: list[TaskRow]) -> None:
        """Restore the progress of a step from its row.

        Raises
        ------
        RowFormatError
            If ``key`` does not name a step of the job.
        """
        first_task = TaskId.parse(f"{key}.0")
        if not job.has_task(first_task):
            raise RowFormatError(f"{key!r} is not a step of job {job.id}")
        step = job.steps_of(first_task.occurrence)[first_task.step]
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
        if job is None or not job.has_task(task):
            return None
        step = job.steps_of(task.occurrence)[task.step]
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
        """Record that the latest run of ``task`` is known to be over."""
        task.worker = ""
        task.wait_started_at = now
        self._changed_steps[step.key] = step

    def apply_end(self, worker: str, end: EndedRun, now: float) -> EndEffect:
        """Apply the end of a run on ``worker`` and return its effect."""
        found = self.find_task(end.task)
        if found is None:
            return EndEffect.STALE
        step, task = found
        if task.done or task.run != end.run or task.worker not in ("", worker):
            return EndEffect.STALE
        if not task.worker and end.reason is not EndReason.DONE:
            # An earlier lease holder has applied this end, or the run was recorded as
            # lost when its lease lapsed.
            return EndEffect.STALE
        self.release(task, step, now)
        if end.checkpoint and step.spec.checkpointing:
            task.checkpoint = end.checkpoint
        match end.reason:
            case EndReason.DONE if not step.spec.long_running:
                self._record_success(step, task)
                return EndEffect.SUCCEEDED
            case EndReason.FAILED if not step.spec.long_running:
                return self._record_failure(step, task, worker)
        return EndEffect.REQUEUED

    def _record_success(self, step: StepProgress, task: Task) -> None:
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            step.mark_done(member)

    def _record_failure(self, step: StepProgress, task: Task, worker: str) -> EndEffect:
        task.excluded_workers |= {worker}
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            member.failures = task.failures + 1 if member is task else member.failures
        failures = max(member.failures for member in members)
        if failures < step.job.queue.max_attempts:
            return EndEffect.REQUEUED
        return EndEffect.GAVE_UP

    def finish(self, job: JobProgress, status: JobStatus, ended_ms: int) -> None:
        """Record the terminal state of a job; its runs may still be stopping."""
        self._set_status(job, status, ended_ms)

    def discard(self, job_id: str, status: JobStatus, ended_ms: int) -> None:
        """Remove a job, known or not, and record its terminal state.

        The queue of a job that is not known is left empty.
        """
        job = self.job_by_id.get(job_id)
        queue = "" if job is None else job.queue.name
        self._changed_states[job_id] = StateRow(queue, status, ended_ms)
        self._remove(job_id)

    def remove_if_idle(self, job: JobProgress) -> bool:
        """Remove an ended job once no task of it is assigned; return whether it was."""
        if not job.status.is_terminal or not job.is_idle:
            return False
        self._remove(job.id)
        return True

    def _remove(self, job_id: str) -> None:
        self._deleted_rows[job_key(job_id)] = None
        self._deleted_rows[cancel_key(job_id)] = None
        job = self.job_by_id.pop(job_id, None)
        if job is None:
            return
        for step in job.known_steps():
            self._changed_steps.pop(step.key, None)
            self._deleted_rows[step.key] = None

    def take_changes(self) -> list[RowWrite]:
        """Return the rows to write and clear the list of changes."""
        writes = [
            RowWrite(key, encode_step([task.to_row() for task in step.tasks]))
            for key, step in self._changed_steps.items()
        ]
        writes += [
            RowWrite(state_key(job), encode_state(row))
            for job, row in self._changed_states.items()
        ]
        writes += [RowWrite(key, None) for key in self._deleted_rows]
        self._changed_steps.clear()
        self._changed_states.clear()
        self._deleted_rows.clear()
        return writes

    def _set_status(self, job: JobProgress, status: JobStatus, ended_ms: int) -> None:
        job.status = status
        self._changed_states[job.id] = StateRow(job.queue.name, status, ended_ms)
