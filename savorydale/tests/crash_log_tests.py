"""The log tells which crashes were held against a task, and which were not."""

import asyncio
import logging

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import CRASH, Plan

JOB = "00000000000000d1"


@pytest.fixture
def records():
    """Return the list of the log records of crashes."""
    collected = []
    handler = logging.Handler()
    handler.emit = collected.append
    logger = logging.getLogger("savorydale.scheduler.crash_handler")
    logger.addHandler(handler)
    yield collected
    logger.removeHandler(handler)


def find(records, message):
    return [record for record in records if record.getMessage() == message]


@on_virtual_time
async def run_deadly_job():
    async with open_branch(lambda task, run: Plan(0.01, CRASH)) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 10))
        await branch.wait_for_status("e0", JOB, JobStatus.FAILED, 30)
        return branch.counters.count("crash.attributed.only_suspect")


def test_log_names_the_crashes_that_decided(records):
    assert run_deadly_job() == 2
    crashes = find(records, "worker has crashed")
    assert [(r.attributed, r.verdict, r.beside) for r in crashes] == [
        (True, "only_suspect", []),
        (True, "only_suspect", []),
    ]
    [given_up] = find(records, "task is given up")
    decided_by = [(worker, verdict) for worker, _, verdict in given_up.decided_by]
    assert decided_by == [(r.worker, "only_suspect") for r in crashes]
    ages = [age for _, age, _ in given_up.decided_by]
    assert ages == sorted(ages, reverse=True)


@on_virtual_time
async def crash_two_idle_workers():
    async with open_branch() as branch:
        for name in ("w0", "w1"):
            branch.worker_by_name[name].crash(restarts=False)
        await asyncio.sleep(2.0)


def test_log_names_the_workers_that_crashed_at_the_same_moment(records):
    crash_two_idle_workers()
    crashes = find(records, "worker has crashed")
    assert {r.worker for r in crashes} == {"w0", "w1"}
    assert crashes[-1].beside == [crashes[0].worker]
    assert not any(r.attributed for r in crashes)
