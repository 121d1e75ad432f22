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


@pytest.mark.parametrize("offset_seconds", [0.15, 0.5])
@on_virtual_time
async def test_accepted_jobs_start_whenever_the_overload_begins(offset_seconds):
    plan = Plan(0.2)
    async with open_branch(lambda task, run: plan, entries=ENTRY_COUNT) as branch:
        branch.store_latency_seconds = SLOW_RESPONSE_SECONDS
        branch.store.transaction_seconds = SLOW_TRANSACTION_SECONDS
        await asyncio.sleep(offset_seconds)
        outcomes = await submit_jobs(branch, SUBMIT_SECONDS, JOBS_PER_SECOND)
        accepted = sum(isinstance(outcome, JobAccepted) for outcome in outcomes)
        assert branch.checker.starts.total() >= accepted  # each job has two tasks
