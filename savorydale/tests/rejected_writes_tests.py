"""A row that the store never accepts holds up no other row, and ends no term."""

import asyncio
import json

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.storage.rows import RowKey, RowWrite
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.ownership.election_tests import acquire
from standins.task_worker import Plan

SERVICE = "00000000000000a1"
ODD_JOB = "00000000000000b1"
JOBS = [f"{0xC0 + number:016x}" for number in range(6)]
STEP = StepSpec(4, 500, 100)
SERVICE_STEP = StepSpec(3, 500, 100, long_running=True, latency_target_ms=20, image="p")
WAITING = StepSpec(1, 1_000_000, 100)  # never starts
REFUSED_STATUSES = (400, 403, 413)
BUSY_STATUSES = (429, 503)
JOB_INTERVAL_SECONDS = 1.5  # longer than that of the summaries
COMMIT_SECONDS = 5.0  # for 200 writes, all of them refused


def plan(task, run):
    return Plan(None if task.startswith(SERVICE) else 0.5)


def read_epoch(branch):
    return json.loads(branch.store.value("scheduler", "lease"))[1]


@pytest.mark.parametrize("status", REFUSED_STATUSES)
@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("states", ODD_JOB),
        ("steps", f"{ODD_JOB}.0.0"),
        ("steps", f"{SERVICE}.0.0"),
        ("summaries", "q1"),
        ("tails", "p"),
        ("scheduler", "lapses"),
    ],
)
@on_virtual_time
async def test_refused_row_of_any_table_holds_up_no_other_job(table, key, status):
    """Guards against one row that ends each lease holder's term."""
    async with open_branch(plan, entries=2) as branch:
        for worker in branch.worker_by_name.values():
            worker.reported_usage = 10
        epoch = read_epoch(branch)
        await branch.submit_when_ready("e0", SERVICE, SERVICE_STEP)
        await branch.submit("e0", ODD_JOB, STEP, WAITING)
        branch.store.find_refusal = lambda name: (
            status if (name.table, name.key) == (table, key) else None
        )
        for number, job in enumerate(JOBS):
            await branch.submit("e0", job, STEP)
            if number == 2:
                for entry in branch.entry_by_name:  # the lapse of w0 is recorded
                    branch.faults_between(entry, "w0:80").is_partitioned = True
            await asyncio.sleep(JOB_INTERVAL_SECONDS)
        for job in JOBS:
            await branch.wait_for_status("e0", job, JobStatus.COMPLETED, 15)
        assert read_epoch(branch) == epoch


@on_virtual_time
async def test_run_whose_assignment_is_refused_is_not_started():
    """Guards against a run that the next lease holder does not know."""
    async with open_branch(plan, entries=2, workers=1) as branch:
        branch.store.find_refusal = lambda name: (
            400 if name.table == "steps" and name.key.startswith(ODD_JOB) else None
        )
        await branch.submit_when_ready("e0", ODD_JOB, STEP)
        await branch.wait_for_status("e0", ODD_JOB, JobStatus.FAILED, 5)
        await asyncio.sleep(1.0)
        assert branch.checker.starts.total() == 0
        assert branch.counters.count("commit.rejected") > 0
        # No capacity stays reserved: a job that needs all of it runs.
        await branch.submit("e0", JOBS[0], StepSpec(1, 8_000, 16_000))
        await branch.wait_for_status("e0", JOBS[0], JobStatus.COMPLETED, 5)
        branch.store.find_refusal = lambda name: None
        await asyncio.sleep(3.0)
        assert not any(name.table == "steps" for name in branch.store._row_by_name)


def make_writes(count):
    return [RowWrite(RowKey("t", f"k{number}"), b"v") for number in range(count)]


@pytest.mark.parametrize("refused", [(0,), (199,), (3, 4, 150), range(200), ()])
@on_virtual_time
async def test_only_refused_rows_are_left_out_of_a_commit(refused):
    async with open_branch(entries=1) as branch:
        store = branch.entry_by_name["e0"]._store
        await branch.stop_entry("e0")
        lease = await acquire(store)
        writes = make_writes(200)
        refused_names = {writes[number].name for number in refused}
        branch.store.find_refusal = lambda name: (
            400 if RowKey(name.table, name.key) in refused_names else None
        )
        async with asyncio.timeout(COMMIT_SECONDS):
            left_out = await lease.commit(writes)
        assert {item.write.name for item in left_out} == refused_names
        for write in writes:
            is_stored = branch.store.value(*write.name) is not None
            assert is_stored is (write.name not in refused_names)
        assert lease.is_current()


@pytest.mark.parametrize("status", [*REFUSED_STATUSES, *BUSY_STATUSES])
@on_virtual_time
async def test_store_that_refuses_everything_for_a_while_costs_no_row(status):
    """Guards against rows that are given up since the store itself is at fault."""
    async with open_branch(entries=1) as branch:
        store = branch.entry_by_name["e0"]._store
        await branch.stop_entry("e0")
        lease = await acquire(store)
        branch.store.find_refusal = lambda name: status
        commit = asyncio.create_task(lease.commit(make_writes(5)))
        await asyncio.sleep(10.0)
        assert not commit.done()
        branch.store.find_refusal = lambda name: None
        assert await commit == []
        assert all(branch.store.value("t", f"k{number}") for number in range(5))


@pytest.mark.parametrize("status", BUSY_STATUSES)
@on_virtual_time
async def test_row_that_is_refused_for_a_while_is_stored_later(status):
    async with open_branch(entries=1) as branch:
        store = branch.entry_by_name["e0"]._store
        await branch.stop_entry("e0")
        lease = await acquire(store)
        branch.store.find_refusal = lambda name: status if name.key == "k1" else None
        commit = asyncio.create_task(lease.commit(make_writes(3)))
        await asyncio.sleep(5.0)
        branch.store.find_refusal = lambda name: None
        assert await commit == []
        assert branch.store.value("t", "k1")
