"""The progress of a step fits in its row, however long its checkpoints are."""

import asyncio
import json

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import (
    MAX_ROW_BYTES,
    JobStatus,
    TaskRow,
    decode_step,
    encode_step,
)
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000a2"
TASK_COUNT = 1_000
STEP = StepSpec(TASK_COUNT, 10, 10, checkpointing=True)


def make_rows(checkpoint):
    return [TaskRow(False, 1, 0, "i-0123456789", checkpoint)] * TASK_COUNT


@pytest.mark.parametrize("length", [0, 16, 100, 10_000])
def test_checkpoints_are_left_out_of_a_row_that_would_be_too_long(length):
    rows = make_rows("c" * length)
    encoded = encode_step(rows, MAX_ROW_BYTES)
    assert len(encoded) <= MAX_ROW_BYTES
    is_short = length <= 16
    assert decode_step(encoded) == (rows if is_short else make_rows(""))


@pytest.mark.parametrize("length", [16, 100])
@on_virtual_time
async def test_long_checkpoints_hold_up_no_job(length):
    """Guards against a row that the store rejects, which fails the job."""

    def plan(task, run):
        return Plan(1.0 if task.startswith(OTHER_JOB) else 2.0 if run == 1 else 1.0)

    async with open_branch(plan, workers=2) as branch:
        for name, worker in branch.worker_by_name.items():
            branch.set_capacity(name, cpu=32_000, memMb=128_000)
            add_checkpoints(worker, "c" * length)
        await asyncio.sleep(2.0)
        await branch.submit_when_ready("e0", JOB, STEP)
        await asyncio.sleep(1.8)
        for worker in branch.worker_by_name.values():
            for active in list(worker.run_by_task.values()):
                worker._end(active, "lapsed")
        await branch.submit("e0", OTHER_JOB, StepSpec(2, 10, 10))
        for job in (OTHER_JOB, JOB):
            await branch.wait_for_status("e0", job, JobStatus.COMPLETED, 20)
        assert branch.counters.count("commit.rejected") == 0


def add_checkpoints(worker, checkpoint):
    """Let the worker list a checkpoint with each run and each end."""
    handle = worker.handle

    async def handle_with_checkpoints(method, path, params, body):
        reply = await handle(method, path, params, body)
        document = json.loads(json.dumps(reply.body))
        for run in document.get("running", []):
            run[2] = checkpoint
        for end in document.get("ended", []):
            end[4] = checkpoint
        return reply._replace(body=document)

    worker.handle = handle_with_checkpoints
