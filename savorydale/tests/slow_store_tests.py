"""While the store is slow, the scheduling entry goes on, and callers get answers."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.store import JobAccepted, JobOutcomeUnknown
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

STEP = StepSpec(2, 100, 10, estimate_ms=200)
SLOW_ANSWER_SECONDS = 0.24
SLOW_TRANSACTION_SECONDS = 0.18
ENTRIES = 12
SECONDS = 8


async def hand_in(branch, number):
    entry = f"e{number % ENTRIES}"
    job = f"{number:016x}"
    await branch.status(entry, job)
    return await branch.submit(entry, job, STEP)


async def hand_in_jobs(branch, seconds, per_second):
    """Hand in more jobs than the slow store can take; return the outcomes."""
    submissions = []
    for number in range(seconds * per_second):
        submissions.append(asyncio.create_task(hand_in(branch, number)))
        await asyncio.sleep(1 / per_second)
    return await asyncio.gather(*submissions)


@pytest.mark.parametrize("per_second", [8, 16])
@on_virtual_time
async def test_a_slow_store_under_load_moves_no_lease_and_hides_no_outcome(per_second):
    plan = Plan(0.2)
    async with open_branch(lambda task, run: plan, entries=ENTRIES) as branch:
        holder = branch.scheduling_entry()
        branch.store_seconds = SLOW_ANSWER_SECONDS
        branch.store.transaction_seconds = SLOW_TRANSACTION_SECONDS
        outcomes = await hand_in_jobs(branch, SECONDS, per_second)
        assert branch.scheduling_entry() == holder
        assert not any(isinstance(outcome, JobOutcomeUnknown) for outcome in outcomes)
        accepted = sum(isinstance(outcome, JobAccepted) for outcome in outcomes)
        assert branch.violations.starts.total() >= accepted  # of two tasks a job
