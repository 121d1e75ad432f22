"""The holder's transactions get their turn while submissions overload the store.

Guarded failure: accepted jobs do not start for many seconds, depending on the moment at
which the overload begins.
"""

import asyncio

import pytest

from savorydale.jobs.store import JobAccepted
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.slow_store_tests import (
    ENTRY_COUNT,
    SLOW_RESPONSE_SECONDS,
    SLOW_TRANSACTION_SECONDS,
    SUBMIT_SECONDS,
    submit_jobs,
)
from standins.task_worker import Plan

JOBS_PER_SECOND = 16
PEAK_JOBS_PER_SECOND = 40


@pytest.mark.parametrize("offset_seconds", [0.15, 0.5])
@on_virtual_time
async def test_accepted_jobs_start_whenever_the_overload_begins(offset_seconds):
    await check_that_accepted_jobs_start(offset_seconds, JOBS_PER_SECOND)


@pytest.mark.parametrize("offset_seconds", [0.0, 0.25, 0.65])
@on_virtual_time
async def test_accepted_jobs_start_beside_many_times_what_the_store_can_do(
    offset_seconds,
):
    await check_that_accepted_jobs_start(offset_seconds, PEAK_JOBS_PER_SECOND)


async def check_that_accepted_jobs_start(offset_seconds, jobs_per_second):
    plan = Plan(0.2)
    async with open_branch(lambda task, run: plan, entries=ENTRY_COUNT) as branch:
        branch.store_latency_seconds = SLOW_RESPONSE_SECONDS
        branch.store.transaction_seconds = SLOW_TRANSACTION_SECONDS
        await asyncio.sleep(offset_seconds)
        outcomes = await submit_jobs(branch, SUBMIT_SECONDS, jobs_per_second)
        accepted = sum(isinstance(outcome, JobAccepted) for outcome in outcomes)
        assert branch.checker.starts.total() >= accepted  # each job has two tasks
