"""One odd row in the store's replies, or one odd reply, affects only itself."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.row_store import Reply

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
LAST_JOB = "00000000000000a3"
ODD_JOB = "00000000000000b1"
STEP = StepSpec(6, 500, 100, estimate_ms=500)
HUGE = 10**400
ODD_ROWS = {
    "value is no base64": {"value": "A"},
    "value in other letters": {"value": "\u00e4\u00e4\u00e4\u00e4"},
    "value is a number": {"value": 5},
    "value is nested": {"value": [[[]]]},
    "value is missing": {"value": None},
    "version of 400 digits": {"ver": HUGE},
    "version below zero": {"ver": -1},
    "version is a text": {"ver": "x"},
    "key is a number": {"key": 5},
    "key is missing": {"key": None},
    "table is nested": {"table": {"a": []}},
}
ODD_REPLIES = {
    "time of 400 digits": {"nowMs": HUGE},
    "time of 400 digits below zero": {"nowMs": -HUGE},
    "time is a text": {"nowMs": "soon"},
    "time is not finite": {"nowMs": float("inf")},
    "version of 400 digits": {"ver": HUGE},
    "version is true": {"ver": True},
    "rows is an object": {"rows": {}},
    "rows holds a number": {"rows": [5]},
    "no rows": {"rows": None},
}


def change_row(branch, row_key, changes):
    """Change how the store shows the row with this key, in all its replies."""
    show = branch.store._change_to_json

    def show_changed(version, name, value):
        row = show(version, name, value)
        return {**row, **changes} if name.key == row_key else row

    branch.store._change_to_json = show_changed


def change_reads(branch, changes):
    """Change all replies to reads; return the method that the store had."""
    handle = branch.store.handle

    async def handle_and_change(method, path, params, body):
        reply = await handle(method, path, params, body)
        if method != "GET" or reply.status != 200:
            return reply
        return Reply(200, {**reply.body, **changes})

    branch.store.handle = handle_and_change
    return handle


async def assert_job_completes(branch, job):
    entry = next(iter(branch.entry_by_name))
    await branch.submit_when_ready(entry, job, STEP)
    await branch.wait_for_status(entry, job, JobStatus.COMPLETED, 12)


@pytest.mark.parametrize("table", ["servers", "op", "jobs", "states", "steps", "tails"])
@pytest.mark.parametrize("name", ODD_ROWS)
@on_virtual_time
async def test_odd_row_of_a_table_does_not_hide_the_others(name, table):
    async with open_branch() as branch:
        key = f"{ODD_JOB}.0.0" if table == "steps" else ODD_JOB
        change_row(branch, key, ODD_ROWS[name])
        branch.store.put(table, key, b"{}")
        await assert_job_completes(branch, JOB)
        await branch.kill_entry(branch.scheduling_entry())
        branch.add_worker("w9")
        await assert_job_completes(branch, NEXT_JOB)
        assert branch.worker_by_name["w9"]._highest_run_by_task
        await asyncio.sleep(8)
        assert branch.counters.count("lease.given_up") == 0


@pytest.mark.parametrize("name", ODD_REPLIES)
@on_virtual_time
async def test_odd_replies_of_the_store_end_no_process(name):
    async with open_branch() as branch:
        await assert_job_completes(branch, JOB)
        handle = change_reads(branch, ODD_REPLIES[name])
        await asyncio.sleep(20)
        branch.store.handle = handle
        await asyncio.sleep(8)
        assert not any(task.done() for task in branch._task_by_entry.values())
        for number, entry in enumerate(branch.entry_by_name):
            job = (NEXT_JOB, LAST_JOB)[number]
            await branch.submit(entry, job, STEP)
            await branch.wait_for_status(entry, job, JobStatus.COMPLETED, 12)
