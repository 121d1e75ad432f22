"""A slow store under load: the lease does not move and callers learn the outcome.

Guards against timeouts shorter than the store's response time. Entries would then retry
transactions that the store still executes, and so add to its load.
"""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.store import JobAccepted, JobOutcomeUnknown
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

STEP = StepSpec(2, 100, 10, estimate_ms=200)
SLOW_RESPONSE_SECONDS = 0.24
SLOW_TRANSACTION_SECONDS = 0.18
ENTRY_COUNT = 12
SUBMIT_SECONDS = 8


async def submit_job(branch, number):
    entry = f"e{number % ENTRY_COUNT}"
    job = f"{number:016x}"
    await branch.status(entry, job)
    return await branch.submit(entry, job, STEP)


async def submit_jobs(branch, seconds, jobs_per_second):
    """Submit more jobs than the slow store can handle; return the outcomes."""
    submissions = []
    for number in range(seconds * jobs_per_second):
        submissions.append(asyncio.create_task(submit_job(branch, number)))
        await asyncio.sleep(1 / jobs_per_second)
    return await asyncio.gather(*submissions)


@pytest.mark.parametrize("jobs_per_second", [8, 16])
@on_virtual_time
async def test_slow_store_under_load_keeps_lease_and_outcomes_known(jobs_per_second):
    plan = Plan(0.2)
    async with open_branch(lambda task, run: plan, entries=ENTRY_COUNT) as branch:
        holder = branch.scheduling_entry()
        branch.store_latency_seconds = SLOW_RESPONSE_SECONDS
        branch.store.transaction_seconds = SLOW_TRANSACTION_SECONDS
        outcomes = await submit_jobs(branch, SUBMIT_SECONDS, jobs_per_second)
        assert branch.scheduling_entry() == holder
        assert not any(isinstance(outcome, JobOutcomeUnknown) for outcome in outcomes)
        accepted = sum(isinstance(outcome, JobAccepted) for outcome in outcomes)
        assert branch.checker.starts.total() >= accepted  # each job has two tasks
