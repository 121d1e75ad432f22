"""A worker's capacity shrinks and grows while it runs; no start brings it over.

Guarded failure: start orders that were planned for the larger capacity went out after
the smaller one was known.
"""

import asyncio
import json

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import STORE_ADDRESS, open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.invariant_checker import CAPACITY_GRACE_SECONDS
from standins.row_store import Reply
from standins.task_worker import Plan

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000a2"
ENTRY = "e0"
WORKER = "w0"
TASK = StepSpec(8, 1000, 100)
SMALL_TASK = StepSpec(40, 200, 100)
GANG = StepSpec(2, 5000, 100, gang=True)
RUN_SECONDS = 60.0
KNOWN_SECONDS = 0.1  # an undisturbed holder knows of a change of the store by then
TRANSACTION_SECONDS = 0.4
SLOW_ORDER_SECONDS = 0.45
LINK_CLOSE_SECONDS = 20.0


def long_task(task, run):
    return Plan(RUN_SECONDS)


def open_small_branch(workers=1, grace_seconds=KNOWN_SECONDS):
    return open_branch(
        long_task,
        entries=1,
        workers=workers,
        capacity_grace_seconds=grace_seconds,
    )


async def submit(branch, job, *steps):
    branch.checker.add_job(job, steps, attempts=2)
    await branch.submit_when_ready(ENTRY, job, *steps)


def running(branch, job=JOB):
    return branch.checker.running_task_count(job)


async def wait_until_running(branch, count, timeout_seconds, job=JOB):
    await branch.wait_until(lambda: running(branch, job) == count, timeout_seconds)


async def submit_and_wait_until_assigned(branch, job, step):
    """Submit a job to a slow store, and return while its assignments are committed."""
    branch.store.transaction_seconds = TRANSACTION_SECONDS
    await submit(branch, job, step)
    await branch.wait_until(
        lambda: branch.counters.count("run.assigned") == step.task_count, 5
    )
    assert running(branch, job) == 0


def set_slow_orders(branch, worker=WORKER):
    branch.faults_between(
        ENTRY, f"{worker}:80"
    ).reply_delay_seconds = SLOW_ORDER_SECONDS


def refuse_reads_of_table(branch, table):
    """Let the store refuse the reads of one table; return how to end that."""
    handle = branch.store.handle

    async def handle_other_tables(method, path, params, body):
        if params.get("table") == table:
            return Reply(503, {})
        return await handle(method, path, params, body)

    def end():
        branch.store.handle = handle

    branch.store.handle = handle_other_tables
    return end


RESOURCES = {
    "cpu": (TASK, {"cpu": 3000}),
    "memory": (StepSpec(8, 100, 2000), {"memMb": 6000}),
    "accelerators": (StepSpec(8, 100, 100, accelerators=1), {"gpu": 3}),
    "backfill-memory": (
        StepSpec(8, 1000, 2000, image="report", backfill=True),
        {"memMb": 6000},
    ),
}


@pytest.mark.parametrize("resource", RESOURCES)
@on_virtual_time
async def test_worker_that_shrinks_during_a_commit_gets_only_what_fits(resource):
    step, smaller = RESOURCES[resource]
    async with open_small_branch() as branch:
        branch.set_capacity(WORKER, gpu=8)
        await asyncio.sleep(KNOWN_SECONDS)
        await submit_and_wait_until_assigned(branch, JOB, step)
        branch.set_capacity(WORKER, **smaller)
        await asyncio.sleep(5)
        assert running(branch) == 3
        assert branch.counters.count("start.over_capacity") == 5
        branch.set_capacity(WORKER, cpu=8000, memMb=16000, gpu=8)
        await wait_until_running(branch, 8, 3)


@pytest.mark.parametrize("grace_seconds", [KNOWN_SECONDS, CAPACITY_GRACE_SECONDS])
@on_virtual_time
async def test_start_orders_that_wait_are_not_sent_to_a_worker_that_shrank(
    grace_seconds,
):
    async with open_small_branch(grace_seconds=grace_seconds) as branch:
        set_slow_orders(branch)
        await submit(branch, JOB, SMALL_TASK)
        await wait_until_running(branch, 4, 5)
        branch.set_capacity(WORKER, cpu=1200)
        await asyncio.sleep(2 * CAPACITY_GRACE_SECONDS)
        assert running(branch) == 6
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 40, 15)


@on_virtual_time
async def test_withdrawn_starts_are_known_as_such_after_a_takeover():
    async with open_small_branch() as branch:
        await submit_and_wait_until_assigned(branch, JOB, TASK)
        branch.set_capacity(WORKER, cpu=3000)
        await asyncio.sleep(3)
        await branch.kill_entry(ENTRY)
        branch.start_entry(ENTRY)
        await asyncio.sleep(5)
        assert running(branch) == 3
        assert branch.checker.starts.total() == 3
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 8, 3)
        assert branch.checker.starts.total() == 8


@on_virtual_time
async def test_gang_whose_member_no_longer_fits_is_released_as_a_whole():
    async with open_small_branch(workers=2) as branch:
        await submit_and_wait_until_assigned(branch, JOB, GANG)
        branch.set_capacity(WORKER, cpu=3000)
        await asyncio.sleep(5)
        assert branch.checker.starts.total() == 0
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 2, 3)
        assert branch.checker.starts.total() == 2


@on_virtual_time
async def test_started_members_of_a_gang_are_stopped_if_another_no_longer_fits():
    async with open_small_branch(workers=2) as branch:
        set_slow_orders(branch)
        await submit(branch, OTHER_JOB, StepSpec(20, 100, 100))
        await submit(branch, JOB, GANG)
        await wait_until_running(branch, 1, 3)
        branch.set_capacity(WORKER, cpu=3000)
        await wait_until_running(branch, 0, 2)
        await asyncio.sleep(3)
        assert running(branch) == 0
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 2, 5)


@on_virtual_time
async def test_runs_stay_on_a_worker_that_shrinks_and_new_ones_wait():
    async with open_small_branch() as branch:
        await submit(branch, JOB, StepSpec(6, 1000, 100))
        await wait_until_running(branch, 6, 3)
        branch.set_capacity(WORKER, cpu=3000)
        await asyncio.sleep(KNOWN_SECONDS)
        await submit(branch, OTHER_JOB, TASK)
        await asyncio.sleep(5)
        assert running(branch) == 6
        assert running(branch, OTHER_JOB) == 0
        await branch.entry_by_name[ENTRY].job_store.cancel(JOB, 2.0)
        await wait_until_running(branch, 3, 3, OTHER_JOB)


@on_virtual_time
async def test_backfill_waits_while_reserved_cpu_is_over_the_capacity():
    async with open_small_branch() as branch:
        await submit(branch, JOB, StepSpec(6, 1000, 100, long_running=True))
        await wait_until_running(branch, 6, 3)
        branch.set_capacity(WORKER, cpu=5500)
        await asyncio.sleep(KNOWN_SECONDS)
        backfill = StepSpec(1, 1000, 100, image="report", backfill=True)
        await submit(branch, OTHER_JOB, backfill)
        await asyncio.sleep(8)
        assert running(branch, OTHER_JOB) == 0
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 1, 1, OTHER_JOB)


@on_virtual_time
async def test_planned_backfill_is_withdrawn_if_active_runs_exceed_the_capacity():
    async with open_small_branch() as branch:
        await submit(branch, OTHER_JOB, StepSpec(6, 1000, 100, long_running=True))
        await wait_until_running(branch, 6, 3, OTHER_JOB)
        backfill = StepSpec(1, 1000, 100, image="report", backfill=True)
        branch.store.transaction_seconds = TRANSACTION_SECONDS
        await submit(branch, JOB, backfill)
        await branch.wait_until(lambda: branch.counters.count("run.assigned") == 7, 5)
        branch.set_capacity(WORKER, cpu=5500)
        await asyncio.sleep(5)
        assert running(branch) == 0
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 1, 3)


@on_virtual_time
async def test_waiting_tasks_start_at_once_when_the_capacity_grows():
    async with open_small_branch() as branch:
        branch.set_capacity(WORKER, cpu=1000)
        await asyncio.sleep(KNOWN_SECONDS)
        await submit(branch, JOB, TASK)
        await wait_until_running(branch, 1, 1)
        await asyncio.sleep(5)
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 8, 0.2)


@on_virtual_time
async def test_worker_that_shrank_unregistered_before_a_takeover():
    async with open_small_branch() as branch:
        await submit(branch, JOB, StepSpec(4, 1000, 100))
        await wait_until_running(branch, 4, 3)
        branch.store.delete("servers", WORKER)
        await branch.kill_entry(ENTRY)
        branch.start_entry(ENTRY)
        await submit(branch, OTHER_JOB, TASK)
        await asyncio.sleep(3)
        branch.set_capacity(WORKER, cpu=5000)
        branch.register(WORKER)
        await wait_until_running(branch, 1, 1, OTHER_JOB)
        await asyncio.sleep(5)
        assert running(branch, OTHER_JOB) == 1
        assert branch.checker.starts.total() == 5


@on_virtual_time
async def test_worker_that_comes_back_smaller_under_the_same_identifier():
    async with open_small_branch() as branch:
        branch.store.delete("servers", WORKER)
        branch.worker_by_name[WORKER].crash(restarts=False)
        await asyncio.sleep(LINK_CLOSE_SECONDS)
        branch.worker_by_name[WORKER].is_up = True
        branch.set_capacity(WORKER, cpu=3000)
        branch.register(WORKER)
        await submit(branch, JOB, TASK)
        await wait_until_running(branch, 3, 3)
        await asyncio.sleep(5)
        assert running(branch) == 3


@on_virtual_time
async def test_capacity_that_shrank_while_the_history_was_lost():
    async with open_small_branch() as branch:
        branch.set_capacity(WORKER, cpu=3000)
        branch.store.truncate_history()
        await asyncio.sleep(KNOWN_SECONDS)
        await submit(branch, JOB, TASK)
        await wait_until_running(branch, 3, 3)
        await asyncio.sleep(5)
        assert running(branch) == 3


@on_virtual_time
async def test_capacity_that_shrank_while_the_store_was_out():
    async with open_small_branch(grace_seconds=CAPACITY_GRACE_SECONDS) as branch:
        await submit(branch, JOB, StepSpec(4, 1000, 100))
        await wait_until_running(branch, 4, 3)
        faults = branch.faults_between(ENTRY, STORE_ADDRESS)
        faults.is_partitioned = True
        branch.set_capacity(WORKER, cpu=5000)
        await asyncio.sleep(CAPACITY_GRACE_SECONDS)
        faults.is_partitioned = False
        await submit(branch, OTHER_JOB, TASK)
        await wait_until_running(branch, 1, 8, OTHER_JOB)
        await asyncio.sleep(5)
        assert running(branch, OTHER_JOB) == 1


@on_virtual_time
async def test_nothing_starts_while_registrations_cannot_be_read():
    async with open_small_branch(grace_seconds=CAPACITY_GRACE_SECONDS) as branch:
        end_refusal = refuse_reads_of_table(branch, "servers")
        await asyncio.sleep(1.5)  # the request in progress ends
        branch.set_capacity(WORKER, cpu=3000)
        await asyncio.sleep(CAPACITY_GRACE_SECONDS)
        await submit(branch, JOB, TASK)
        await asyncio.sleep(3)
        assert running(branch) == 0
        end_refusal()
        await wait_until_running(branch, 3, 1)
        await asyncio.sleep(5)
        assert running(branch) == 3


@on_virtual_time
async def test_start_orders_that_wait_are_not_sent_on_old_registrations():
    async with open_small_branch(grace_seconds=CAPACITY_GRACE_SECONDS) as branch:
        set_slow_orders(branch)
        await submit(branch, JOB, SMALL_TASK)
        end_refusal = refuse_reads_of_table(branch, "servers")
        await asyncio.sleep(1.5)  # the request in progress ends
        branch.set_capacity(WORKER, cpu=1200)
        await asyncio.sleep(2 * CAPACITY_GRACE_SECONDS)
        assert running(branch) < 40
        assert branch.counters.count("start.registrations_old") > 0
        end_refusal()
        branch.set_capacity(WORKER, cpu=8000)
        await wait_until_running(branch, 40, 15)


@on_virtual_time
async def test_worker_whose_registration_became_unreadable_gets_nothing():
    async with open_small_branch() as branch:
        await submit(branch, JOB, StepSpec(2, 1000, 100))
        await wait_until_running(branch, 2, 3)
        branch.set_capacity(WORKER, cpu=3000)
        row = json.loads(branch.store.value("servers", WORKER))
        branch.set_capacity(WORKER, cpu=8000)
        await asyncio.sleep(1)
        unreadable = json.dumps({**row, "state": "odd"}).encode()
        branch.store.put("servers", WORKER, unreadable)
        await asyncio.sleep(KNOWN_SECONDS)
        await submit(branch, OTHER_JOB, TASK)
        await asyncio.sleep(3)
        assert running(branch, OTHER_JOB) == 0
        assert running(branch) == 2
        branch.set_capacity(WORKER, cpu=3000)
        branch.register(WORKER)
        await wait_until_running(branch, 1, 1, OTHER_JOB)
