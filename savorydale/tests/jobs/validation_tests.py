"""Test which jobs are refused, and that each refusal has a reason."""

import pytest

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import JobRow
from savorydale.jobs.validation import JobLimits, find_job_errors

QUEUE = QueueSettings("q", "desk.example", "/q/", "desk")
LIMITS = JobLimits()


def errors_of(spec, limits=LIMITS):
    return find_job_errors(JobRow(spec, QUEUE, 0), limits)


@pytest.mark.parametrize(
    ("spec", "message"),
    [
        (JobSpec("", ()), "at least one step"),
        (JobSpec("", (StepSpec(0),)), "no tasks"),
        (JobSpec("", (StepSpec(1, after=(0,)),)), "after earlier steps"),
        (JobSpec("", (StepSpec(1), StepSpec(1, after=(7,)))), "after earlier steps"),
        (JobSpec("", (StepSpec(1, after=(-1,)),)), "after earlier steps"),
        (JobSpec("", (StepSpec(1, cpu_millicores=-1),)), "cpu_millicores is negative"),
        (JobSpec("", (StepSpec(1, memory_mb=10**300),)), "too large"),
        (JobSpec("", (StepSpec(-1),)), "no tasks"),
        (JobSpec("", (StepSpec(10**9),)), "more than 1000 tasks"),
        (JobSpec("", (StepSpec(1),) * 101), "at most 100 steps"),
        (JobSpec("", (StepSpec(1),), 0, 1, 10**6), "at most 100000 tasks"),
        (JobSpec("", (StepSpec(1),), 0, -1, 2), "cannot be negative"),
        (JobSpec("", (StepSpec(1),), 10**400, 1, 2), "out of range"),
        (JobSpec("", (StepSpec(1, image="x" * 70_000),)), "of 65536 bytes"),
    ],
)
def test_invalid_jobs_are_rejected_with_a_reason(spec, message):
    assert any(message in text for text in errors_of(spec))


def test_large_valid_jobs_are_accepted():
    steps = (StepSpec(1000), StepSpec(1000, after=(0,)))
    assert errors_of(JobSpec("x" * 4000, steps, 0, 1000, 50)) == []
