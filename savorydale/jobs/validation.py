"""Limits on jobs, and the checks that each job passes before it is scheduled."""

from typing import NamedTuple

from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobRow, encode_job

MAX_FIELD_VALUE = 2**53 - 1  # larger integers are not exact in every JSON parser

STEP_SIZES = (
    "cpu_millicores",
    "memory_mb",
    "accelerators",
    "estimate_ms",
    "max_per_worker",
    "latency_target_ms",
)


class JobLimits(NamedTuple):
    """Limits of one job.

    Parameters
    ----------
    max_steps : int
        Number of steps.
    max_tasks_per_step : int
        Number of tasks of one step, whose progress is stored in one row.
    max_tasks : int
        Number of tasks of all occurrences together.
    max_waiting_occurrences : int
        Number of due occurrences that are scheduled at the same time; later ones wait
        until earlier ones are done.
    max_row_bytes : int
        Size of the encoded job.
    """

    max_steps: int = 100
    max_tasks_per_step: int = 1_000
    max_tasks: int = 100_000
    max_waiting_occurrences: int = 100
    max_row_bytes: int = 65_536


# Stored jobs stay scheduled when the limits of new jobs are lowered. These are the
# largest limits that the settings allow.
STORED_JOB_LIMITS = JobLimits(1_000, 10_000, 1_000_000, 10_000, 1_048_576)


def find_job_errors(row: JobRow, limits: JobLimits) -> list[str]:
    """Return why a job cannot be scheduled, one message for each input error."""
    spec = row.spec
    if not spec.steps:
        return ["a job needs at least one step"]
    if len(spec.steps) > limits.max_steps:
        return [f"a job has at most {limits.max_steps} steps, not {len(spec.steps)}"]
    errors = _find_schedule_errors(spec)
    for number, step in enumerate(spec.steps):
        errors += _find_step_errors(number, step, limits)
    if errors:
        return errors
    task_count = sum(step.task_count for step in spec.steps)
    task_count *= max(1, spec.occurrence_count)
    if task_count > limits.max_tasks:
        errors.append(f"a job has at most {limits.max_tasks} tasks, not {task_count}")
    row_bytes = len(encode_job(row))
    if row_bytes > limits.max_row_bytes:
        errors.append(f"the job takes {row_bytes} of {limits.max_row_bytes} bytes")
    return errors


def _find_schedule_errors(spec: JobSpec) -> list[str]:
    schedule = (spec.first_due_ms, spec.interval_ms, spec.occurrence_count)
    errors = []
    if spec.occurrence_count < 0 or spec.interval_ms < 0:
        errors.append("occurrences and their interval cannot be negative")
    if max(map(abs, schedule)) > MAX_FIELD_VALUE:
        errors.append("the schedule of the occurrences is out of range")
    return errors


def _find_step_errors(number: int, step: StepSpec, limits: JobLimits) -> list[str]:
    errors = []
    if step.task_count < 1:
        errors.append(f"step {number} has no tasks")
    if step.task_count > limits.max_tasks_per_step:
        errors.append(f"step {number} has more than {limits.max_tasks_per_step} tasks")
    if any(not 0 <= earlier < number for earlier in step.after):
        errors.append(f"step {number} must come after earlier steps only")
    sizes = {name: getattr(step, name) for name in STEP_SIZES}
    sizes["max_unavailable"] = step.max_unavailable or 0
    for name, size in sizes.items():
        if not 0 <= size <= MAX_FIELD_VALUE:
            errors.append(f"step {number}: {name} is negative or too large")
    return errors
