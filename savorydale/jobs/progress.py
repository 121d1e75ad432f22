"""Progress of a job that has not ended: its occurrences, their steps and tasks."""

import collections
import dataclasses
from collections.abc import Iterator

from savorydale.jobs.model import QueueSettings, StepSpec, TaskId
from savorydale.jobs.rows import JobRow, JobStatus, TaskRow, step_key
from savorydale.placement.crashes import NO_CRASHES, CrashCounts
from savorydale.storage.rows import RowKey


@dataclasses.dataclass(slots=True)
class Task:
    """Progress of one task.

    ``worker`` is set while a run is assigned. ``excluded_workers`` are the workers on
    which the task has failed, or that it may have crashed. ``wait_started_at`` is when
    it was last requeued, on the loop's clock; 0 if it never was.
    """

    id: TaskId
    done: bool = False
    run: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    crashes: CrashCounts = NO_CRASHES
    excluded_workers: frozenset[str] = frozenset()
    wait_started_at: float = 0.0

    @property
    def is_waiting(self) -> bool:
        """Return whether the task needs a worker."""
        return not self.done and not self.worker

    def to_row(self) -> TaskRow:
        """Return the state that is stored."""
        return TaskRow(
            self.done,
            self.run,
            self.failures,
            self.worker,
            self.checkpoint,
            self.crashes,
        )


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
        if not self.spec.after:
            return True
        steps = self.job.steps_of(self.occurrence)
        return all(steps[number].is_done for number in self.spec.after)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that need a worker."""
        return [task for task in self.tasks if task.is_waiting]

    def count_by_worker(self) -> collections.Counter[str]:
        """Return how many tasks are assigned to each worker."""
        return collections.Counter(task.worker for task in self.tasks if task.worker)

    def is_given_up(self, task: Task) -> bool:
        """Return whether a task has used up its attempts or crashed its workers.

        Long-running tasks have no limit of either.
        """
        if self.spec.long_running:
            return False
        max_attempts = self.job.queue.max_attempts
        return task.failures >= max_attempts or task.crashes.is_given_up

    def mark_done(self, task: Task) -> None:
        """Record that ``task`` has succeeded."""
        if not task.done:
            task.done = True
            self.unfinished_count -= 1


class JobProgress:
    """A job that has not ended, or whose last runs are being stopped.

    ``added_at`` is when the scheduler first knew of it, on the loop's clock.
    ``critical_path_seconds`` is the estimated run time of the longest chain of
    dependent steps. ``has_begun`` is true if a worker may have begun a task of the job.
    ``was_start_refused`` is true if a start was refused before that; the job is then
    shown as running only once a worker has begun a task.
    """

    def __init__(self, job: str, row: JobRow, status: JobStatus, added_at: float):
        self.id = job
        self.row = row
        self.status = status
        self.has_begun = status is not JobStatus.QUEUED
        self.was_start_refused = False
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
        """Return whether a task is given up."""
        return any(
            step.is_given_up(task) for step in self.known_steps() for task in step.tasks
        )

    @property
    def is_complete(self) -> bool:
        """Return whether all occurrences have succeeded."""
        while self._is_occurrence_done(self._done_count):
            self._done_count += 1
        return self._done_count >= self.occurrence_count
