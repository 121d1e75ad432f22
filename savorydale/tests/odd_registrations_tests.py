"""An odd entry among those of the workers names no worker to use; the others hold."""

import asyncio
import logging

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.odd_registrations import ODD_NAMES, make_odd
from standins.task_worker import Plan

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
LAST_JOB = "00000000000000a3"
LASTING_JOB = "00000000000000c1"
STEP = StepSpec(6, 500, 100, estimate_ms=500)
LASTING_STEP = StepSpec(3, 500, 100, long_running=True, max_per_worker=1)


def odd_value(branch, name):
    """Return the entry of worker w0 with one odd part."""
    value = branch.worker_by_name["w0"].registration("w0:80", "desk", ["a", "r1"])
    return make_odd(name, value)


def plan_run(task, run):
    return Plan(None) if task.startswith(LASTING_JOB) else Plan(0.5)


def run_count(branch, worker):
    return len(branch.worker_by_name[worker].run_by_task)


def started_on(branch, worker, job):
    """Return the tasks of a job that were started on a worker, as it knows them."""
    tasks = branch.worker_by_name[worker]._highest_run_by_task
    return {task for task in tasks if task.startswith(job)}


async def assert_job_completes(branch, job):
    entry = next(iter(branch.entry_by_name))
    await branch.submit_when_ready(entry, job, STEP)
    await branch.wait_for_status(entry, job, JobStatus.COMPLETED, 10)


@pytest.mark.parametrize("name", ODD_NAMES)
@on_virtual_time
async def test_odd_entry_under_the_id_of_a_worker_ends_no_term(name):
    async with open_branch(plan_run) as branch:
        await branch.submit("e0", LASTING_JOB, LASTING_STEP)
        await branch.wait_until(lambda: run_count(branch, "w0") == 1, 5)
        branch.store.put("servers", "w0", odd_value(branch, name))
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, JOB)
        await asyncio.sleep(10)
        assert not started_on(branch, "w0", JOB)
        assert branch.checker.starts.total() == STEP.task_count + 3  # nothing moved
        assert run_count(branch, "w0") == 1
        branch.register("w0")
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, NEXT_JOB)
        assert started_on(branch, "w0", NEXT_JOB)
        assert branch.counters.count("lease.given_up") == 0


@pytest.mark.parametrize("name", ODD_NAMES)
@on_virtual_time
async def test_takeover_with_an_odd_entry_uses_the_other_workers(name):
    async with open_branch(plan_run) as branch:
        branch.store.put("servers", "odd", odd_value(branch, name))
        branch.store.put("servers", "w0", odd_value(branch, name))
        await branch.kill_entry(branch.scheduling_entry())
        await assert_job_completes(branch, JOB)
        branch.add_worker("w9")
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, NEXT_JOB)
        assert started_on(branch, "w9", NEXT_JOB)
        assert not started_on(branch, "w0", NEXT_JOB)
        assert branch.counters.count("lease.given_up") == 0


@on_virtual_time
async def test_remaining_time_that_is_too_large_ends_no_term():
    step = StepSpec(3, 500, 100, estimate_ms=60_000, checkpointing=True)
    async with open_branch(lambda task, run: Plan(60)) as branch:
        await branch.submit("e0", LASTING_JOB, step)
        await branch.wait_until(lambda: run_count(branch, "w0") == 1, 5)
        odd = odd_value(branch, "remaining time of 400 digits")
        branch.store.put("servers", "w0", odd)
        await asyncio.sleep(3)
        assert branch.counters.count("lease.given_up") == 0


@on_virtual_time
async def test_entry_that_alternates_with_odd_copies_keeps_its_runs(caplog):
    caplog.set_level(logging.INFO)
    async with open_branch(plan_run) as branch:
        await branch.submit("e0", LASTING_JOB, LASTING_STEP)
        await branch.wait_until(lambda: run_count(branch, "w0") == 1, 5)
        for number in range(200):
            if number % 2:
                branch.register("w0")
            else:
                name = ODD_NAMES[number // 2 % len(ODD_NAMES)]
                branch.store.put("servers", "w0", odd_value(branch, name))
            await asyncio.sleep(0.05)
        await assert_job_completes(branch, JOB)
        assert started_on(branch, "w0", JOB)
        assert run_count(branch, "w0") == 1
        assert branch.checker.starts.total() == STEP.task_count + 3
        assert branch.counters.count("registration.unreadable") == 100
        messages = [record.getMessage() for record in caplog.records]
        assert messages.count("registration is skipped") <= 4
