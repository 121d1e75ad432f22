"""Names that callers and operators choose need not be valid keys of rows.

The store refuses keys of over 200 bytes, and a transaction with one of them altogether.
"""

import asyncio
import json

import pytest

from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

SERVICE = "00000000000000a1"
JOB = "00000000000000b1"
STEP = StepSpec(4, 500, 100)
SETTLE_SECONDS = 8.0  # the tail latency of services has been written

NAME_BY_CASE = {
    "ordinary": "gate-feed:1",
    "empty": "",
    "100 bytes": "n" * 100,
    "101 bytes": "n" * 101,
    "200 bytes": "n" * 200,
    "201 bytes": "n" * 201,
    "211 bytes": "registry.example/" + "venues-and-fairs/" * 11 + "feed:12",
    "30,000 bytes": "n" * 30_000,
    "characters of 3 bytes": "\u20ac" * 70,
    "NUL": "gate\0feed",
    "lone surrogate": "gate\ud800feed",
    "like a digest": "sha256-" + "0" * 64,
}
cases = pytest.mark.parametrize("name", NAME_BY_CASE.values(), ids=NAME_BY_CASE)


def plan(task, run):
    return Plan(None if task.startswith(SERVICE) else 0.5)


def read_epoch(branch):
    return json.loads(branch.store.value("scheduler", "lease"))[1]


def count_rows(branch, table):
    return sum(name.table == table for name in branch.store._row_by_name)


@cases
@on_virtual_time
async def test_image_of_a_service_may_have_any_name(name):
    """Guards against a name that ends each lease holder's term, so that jobs wait."""
    async with open_branch(plan, entries=2) as branch:
        epoch = read_epoch(branch)
        for worker in branch.worker_by_name.values():
            worker.reported_usage = 10
        service = StepSpec(
            3, 500, 100, long_running=True, latency_target_ms=20, image=name
        )
        await branch.submit_when_ready("e0", SERVICE, service)
        await asyncio.sleep(SETTLE_SECONDS)
        assert read_epoch(branch) == epoch
        assert count_rows(branch, "tails") == 1
        await branch.submit("e0", JOB, STEP)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 3)
        # The next lease holder reads what has been learned, and writes no second row.
        await branch.kill_entry(branch.scheduling_entry())
        await asyncio.sleep(SETTLE_SECONDS)
        assert read_epoch(branch) == epoch + 1
        assert count_rows(branch, "tails") == 1


@cases
@on_virtual_time
async def test_queue_may_have_any_name(name):
    """Guards against a queue whose jobs end each lease holder's term."""
    async with open_branch(plan, entries=2) as branch:
        epoch = read_epoch(branch)
        branch.configure(version=2, name=name)
        entry = branch.entry_by_name["e0"]

        def find_queue():
            return entry.read_configuration().queue_by_name.get(name)

        await branch.wait_until(lambda: find_queue() is not None, 3)
        big = StepSpec(1, 1_000_000, 100)  # never starts
        await entry.job_store.submit(SERVICE, JobSpec("", (big,)), find_queue(), 2.5)
        await entry.job_store.submit(JOB, JobSpec("", (STEP,)), find_queue(), 2.5)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 3)
        await asyncio.sleep(SETTLE_SECONDS)
        assert read_epoch(branch) == epoch
        assert await entry.job_store.count_pending(name, 2.0) == 1
        assert count_rows(branch, "summaries") == 1
