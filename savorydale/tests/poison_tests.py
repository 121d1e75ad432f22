"""One row or message that cannot be handled affects nothing else.

Guarded failure: a stored job raised an error in the lease holder, whose term ended, and
each next holder loaded the same job and failed in the same way.
"""

import asyncio
import json

import pytest

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec, TaskId
from savorydale.jobs.rows import (
    JobRow,
    JobStatus,
    StateRow,
    TaskRow,
    encode_job,
    encode_state,
    encode_step,
)
from savorydale.placement.interference import InterferenceModel
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

GOOD_JOB = "00000000000000a1"
NEXT_GOOD_JOB = "00000000000000a2"
POISON_JOB = "00000000000000b1"
STEP = StepSpec(3, 500, 100, estimate_ms=500)
QUEUE = QueueSettings("q1", "desk.example", "/q1/", "desk", max_attempts=2)


def job_row(*steps, **spec):
    return encode_job(JobRow(JobSpec("x", steps, **spec), QUEUE, 0))


def without(value, *path):
    """Return an encoded row without one of its fields."""
    data = json.loads(value)
    inner = data
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return json.dumps(data).encode()


POISON_ROWS = {
    "no JSON": b"\xff",
    "nested": b"[" * 200_000,
    "no steps": job_row(),
    "unknown predecessor": job_row(STEP._replace(after=(7,))),
    "cycle": job_row(STEP._replace(after=(1,)), STEP._replace(after=(0,))),
    "no tasks": job_row(STEP._replace(task_count=-3)),
    "too many tasks": job_row(STEP._replace(task_count=30_000_000)),
    "too many occurrences": job_row(STEP, interval_ms=1, occurrence_count=10**9),
    "text for a number": job_row(STEP._replace(cpu_millicores="500")),
    "number too large": job_row(STEP._replace(estimate_ms=10**400)),
    "row of another version": without(job_row(STEP), "queue", "name"),
}


def put_job(branch, job, value):
    state = encode_state(StateRow("q1", JobStatus.QUEUED))
    branch.store.put("states", job, state)
    branch.store.put("jobs", job, value)


async def assert_everything_else_is_served(branch):
    """Check the current holder, and the one after a takeover."""
    await branch.submit("e0", GOOD_JOB, STEP)
    await branch.wait_for_status("e0", GOOD_JOB, JobStatus.COMPLETED, 10)
    await branch.wait_for_status("e0", POISON_JOB, JobStatus.FAILED, 1)
    holder = branch.scheduling_entry()
    other = next(name for name in branch.entry_by_name if name != holder)
    await branch.kill_entry(holder)
    await branch.submit(other, NEXT_GOOD_JOB, STEP)
    await branch.wait_for_status(other, NEXT_GOOD_JOB, JobStatus.COMPLETED, 15)
    assert await branch.status(other, POISON_JOB) is JobStatus.FAILED
    assert branch.counters.count("job.set_aside") == 1


@pytest.mark.parametrize("name", POISON_ROWS)
@on_virtual_time
async def test_job_that_cannot_be_scheduled_is_shown_as_failed(name):
    async with open_branch() as branch:
        put_job(branch, POISON_JOB, POISON_ROWS[name])
        await assert_everything_else_is_served(branch)


@pytest.mark.parametrize("name", POISON_ROWS)
@on_virtual_time
async def test_takeover_sets_aside_a_job_that_cannot_be_scheduled(name):
    async with open_branch(entries=1) as branch:
        await branch.kill_entry("e0")
        put_job(branch, POISON_JOB, POISON_ROWS[name])
        branch.start_entry("e0")
        branch.start_entry("e1")
        await asyncio.sleep(3)
        await assert_everything_else_is_served(branch)


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [
        ("states", POISON_JOB, b"{"),
        ("steps", f"{POISON_JOB}.0.9", encode_step([])),
        ("steps", f"{POISON_JOB}.7.0", encode_step([])),
        ("steps", f"{POISON_JOB}.x", encode_step([])),
        ("steps", f"{POISON_JOB}.0.0", b"[[1]]"),
        ("steps", f"{POISON_JOB}.0.0", b"7"),
    ],
)
@on_virtual_time
async def test_takeover_sets_aside_a_job_whose_progress_cannot_be_read(
    table, key, value
):
    async with open_branch(entries=1) as branch:
        await branch.kill_entry("e0")
        put_job(branch, POISON_JOB, job_row(STEP))
        branch.store.put(table, key, value)
        branch.start_entry("e0")
        branch.start_entry("e1")
        await asyncio.sleep(3)
        await assert_everything_else_is_served(branch)


@on_virtual_time
async def test_runs_of_a_job_that_is_set_aside_are_stopped():
    async with open_branch(lambda task, run: Plan(None), entries=1) as branch:
        await branch.submit("e0", POISON_JOB, STEP)
        await branch.wait_until(lambda: branch.checker.starts.total() == 3, 5)
        await branch.kill_entry("e0")
        branch.store.put("jobs", POISON_JOB, b"{")
        branch.start_entry("e0")
        await branch.wait_until(lambda: len(branch.checker.ends) == 3, 8)


@pytest.mark.parametrize("value", [b"{", b"[[1]]", json.dumps([None, "x", 0]).encode()])
@on_virtual_time
async def test_unreadable_lease_row_ends_no_process(value):
    async with open_branch(expects_errors=True) as branch:
        holder = branch.scheduling_entry()
        await branch.kill_entry(holder)
        stored = branch.store.value("scheduler", "lease")
        branch.store.put("scheduler", "lease", value)
        await asyncio.sleep(12)
        branch.store.put("scheduler", "lease", stored)
        other = next(iter(branch.entry_by_name))
        await branch.submit(other, GOOD_JOB, STEP)
        await branch.wait_for_status(other, GOOD_JOB, JobStatus.COMPLETED, 20)


@pytest.mark.parametrize(
    "registration",
    [
        {"address": "10.0.0.1:99999999"},
        {"address": "not an address"},
        {"labels": [["a"]]},
        {"capacity": {"cpu": float("inf"), "memMb": 1}},
    ],
)
@on_virtual_time
async def test_unusable_registration_ends_no_term(registration):
    async with open_branch() as branch:
        row = {
            "address": "10.0.0.1:80",
            "service": "desk",
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": 1000, "memMb": 1000},
            **registration,
        }
        branch.store.put("servers", "w9", json.dumps(row).encode())
        await branch.submit("e0", GOOD_JOB, STEP)
        await branch.wait_for_status("e0", GOOD_JOB, JobStatus.COMPLETED, 10)
        assert branch.counters.count("lease.given_up") == 0


@on_virtual_time
async def test_unexpected_error_of_one_worker_ends_no_term():
    async with open_branch(expects_errors=True) as branch:
        for entry in branch.entry_by_name.values():
            fail_for_worker(entry, "w0")
        await branch.submit("e0", GOOD_JOB, STEP._replace(task_count=60))
        await branch.wait_for_status("e0", GOOD_JOB, JobStatus.COMPLETED, 30)
        assert branch.counters.count("lease.given_up") == 0
        assert branch.counters.count("worker.unexpected_error") > 0


def fail_for_worker(entry, worker):
    """Raise an unexpected error in every order to ``worker``."""
    renew = entry._orders.renew

    async def renew_or_fail(target, order):
        if target.worker == worker:
            raise ZeroDivisionError
        return await renew(target, order)

    entry._orders.renew = renew_or_fail


@on_virtual_time
async def test_unexpected_error_in_the_scheduler_ends_no_process():
    async with open_branch(expects_errors=True) as branch:
        holder = branch.scheduling_entry()
        scheduler_failures = []
        entry = branch.entry_by_name[holder]
        schedule = entry._schedule

        async def fail_once(lease):
            if not scheduler_failures:
                scheduler_failures.append(lease)
                raise ZeroDivisionError
            await schedule(lease)

        for other in branch.entry_by_name.values():
            other._schedule = fail_once
        await branch.kill_entry(holder)
        other = next(iter(branch.entry_by_name))
        await branch.submit(other, GOOD_JOB, STEP)
        await branch.wait_for_status(other, GOOD_JOB, JobStatus.COMPLETED, 25)


@pytest.mark.parametrize(
    ("done", "failures", "status"),
    [(True, 0, JobStatus.COMPLETED), (False, 2, JobStatus.FAILED)],
)
@on_virtual_time
async def test_job_whose_status_was_not_stored_with_its_last_end_is_finished(
    done, failures, status
):
    async with open_branch(entries=1) as branch:
        await branch.kill_entry("e0")
        put_job(branch, GOOD_JOB, job_row(STEP._replace(task_count=2)))
        tasks = [TaskRow(done, 2, failures, "", "")] * 2
        branch.store.put("steps", f"{GOOD_JOB}.0.0", encode_step(tasks))
        branch.start_entry("e0")
        await branch.wait_for_status("e0", GOOD_JOB, status, 8)
        assert TaskId(GOOD_JOB, 0, 0, 0) not in branch.checker.starts


def test_model_of_many_images_does_not_stop_the_commits(monkeypatch):
    # The store refuses a row that is too large, and the commit would be tried for good.
    @on_virtual_time
    async def run():
        async with open_branch(entries=1) as branch:
            models[-1].observe("service", shares, tail_ms=9.0)
            await asyncio.sleep(5)
            await branch.submit("e0", GOOD_JOB, STEP)
            await branch.wait_for_status("e0", GOOD_JOB, JobStatus.COMPLETED, 10)

    models = []
    shares = {f"image-with-a-long-name-{number}": 0.1 for number in range(150)}
    make = InterferenceModel.__init__

    def make_and_keep(model):
        make(model)
        models.append(model)

    monkeypatch.setattr(InterferenceModel, "__init__", make_and_keep)
    run()
