"""In-memory state of all jobs that have not ended, kept by the scheduling entry.

The tracker does not decide where or when tasks run. It records assignments and ends of
runs, and collects the rows that must be committed before these changes are acted on.
"""

from enum import StrEnum

from savorydale.exceptions import RowFormatError
from savorydale.invariants import check
from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import JobProgress, StepProgress, Task
from savorydale.jobs.rows import (
    MAX_ROW_BYTES,
    JobRow,
    JobStatus,
    StateRow,
    TaskRow,
    cancel_key,
    encode_state,
    encode_step,
    job_key,
    state_key,
)
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.placement.crashes import NO_CRASHES, CrashCounts
from savorydale.storage.rows import RowKey, RowWrite


class EndEffect(StrEnum):
    """Effect of the end of a run on its task."""

    STALE = "stale"
    SUCCEEDED = "succeeded"
    REQUEUED = "waits_again"
    GAVE_UP = "gave_up"


class JobTracker:
    """All jobs that have not ended, and their rows that are not written yet.

    ``suspect_by_id`` holds the tasks that may have crashed a worker.
    """

    def __init__(self, max_row_bytes: int = MAX_ROW_BYTES) -> None:
        self._max_row_bytes = max_row_bytes
        self.job_by_id: dict[str, JobProgress] = {}
        self.suspect_by_id: dict[TaskId, Task] = {}
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
            task.crashes = row.crashes
            if task.crashes.is_suspect and not row.done:
                self.suspect_by_id[task.id] = task
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
        if not step.job.was_start_refused:
            self._show_as_running(step.job)
        return task.run

    def record_begin(self, job: JobProgress) -> None:
        """Record that a worker has, or may have, begun a task of ``job``."""
        job.has_begun = True
        self._show_as_running(job)

    def _show_as_running(self, job: JobProgress) -> None:
        if job.status is JobStatus.QUEUED:
            self._set_status(job, JobStatus.RUNNING, 0)

    def release_unstarted(self, task: Task, step: StepProgress, now: float) -> None:
        """Record that the latest run of ``task`` certainly never began.

        The job is pending again unless another run of it may have begun.
        """
        self.release(task, step, now)
        job = step.job
        if job.has_begun:
            return
        job.was_start_refused = True
        if job.status is JobStatus.RUNNING:
            self._set_status(job, JobStatus.QUEUED, 0)

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
        self.record_begin(step.job)
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
            member.crashes = NO_CRASHES
            self.suspect_by_id.pop(member.id, None)

    def _record_failure(self, step: StepProgress, task: Task, worker: str) -> EndEffect:
        task.excluded_workers |= {worker}
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            member.failures = task.failures + 1 if member is task else member.failures
        failures = max(member.failures for member in members)
        if failures < step.job.queue.max_attempts:
            return EndEffect.REQUEUED
        return EndEffect.GAVE_UP

    def record_crash(
        self, step: StepProgress, task: Task, worker: str, is_attributed: bool
    ) -> None:
        """Record that ``worker`` crashed, maybe because of ``task``."""
        task.excluded_workers |= {worker}
        self.set_crashes(step, task, task.crashes.add_crash(task.run, is_attributed))

    def set_crashes(self, step: StepProgress, task: Task, counts: CrashCounts) -> None:
        """Record which crashes count against ``task``."""
        task.crashes = counts
        if counts.is_suspect:
            self.suspect_by_id[task.id] = task
        else:
            self.suspect_by_id.pop(task.id, None)
        self._changed_steps[step.key] = step

    def clear_suspicion(self, step: StepProgress, task: Task) -> None:
        """Record that ``task`` ran without crashing its worker."""
        self.set_crashes(step, task, NO_CRASHES)

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
            for task in step.tasks:
                self.suspect_by_id.pop(task.id, None)
            self._deleted_rows[step.key] = None

    def take_changes(self) -> list[RowWrite]:
        """Return the rows to write and clear the list of changes."""
        writes = [
            RowWrite(
                key,
                encode_step(
                    [task.to_row() for task in step.tasks], self._max_row_bytes
                ),
            )
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
