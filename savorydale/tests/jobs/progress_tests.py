"""Test which occurrences of a job are open, and when it is complete."""

import time

import pytest

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.progress import JobProgress
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.placement.crashes import CrashCounts

QUEUE = QueueSettings("q", "desk.example", "/q/", "desk")


def test_many_due_occurrences_are_scheduled_a_few_at_a_time():
    spec = JobSpec("", (StepSpec(1),), 0, 0, 100_000)
    job = JobProgress("j", JobRow(spec, QUEUE, 0), JobStatus.QUEUED, 0.0)
    started_at = time.monotonic()
    ready = job.ready_steps(1.0, 100)
    assert [step.occurrence for step in ready] == list(range(100))
    for step in ready[:30]:
        step.mark_done(step.tasks[0])
    ready = job.ready_steps(1.0, 100)
    assert [step.occurrence for step in ready] == list(range(30, 130))
    assert not job.is_complete
    assert time.monotonic() - started_at < 0.5


@pytest.mark.parametrize(
    ("failures", "crashes"), [(2, CrashCounts()), (0, CrashCounts(2, 2))]
)
@pytest.mark.parametrize("is_long_running", [False, True])
def test_only_batch_tasks_are_given_up(is_long_running, failures, crashes):
    spec = JobSpec("x", (StepSpec(2, long_running=is_long_running),))
    queue = QueueSettings("q", "s", "/q/", "s", max_attempts=2)
    job = JobProgress("j", JobRow(spec, queue, 0), JobStatus.RUNNING, 0.0)
    [step] = job.steps_of(0)
    step.tasks[1].failures = failures
    step.tasks[1].crashes = crashes
    assert job.has_failed is not is_long_running


def test_job_is_complete_once_every_occurrence_is_done_in_any_order():
    spec = JobSpec("", (StepSpec(1), StepSpec(2)), 0, 0, 4)
    job = JobProgress("j", JobRow(spec, QUEUE, 0), JobStatus.QUEUED, 0.0)
    for occurrence in (3, 1, 0, 2):
        assert not job.is_complete
        for step in job.steps_of(occurrence):
            for task in step.tasks:
                step.mark_done(task)
    assert job.is_complete
    assert job.ready_steps(1.0, 2) == []
