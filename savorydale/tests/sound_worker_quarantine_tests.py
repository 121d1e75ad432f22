"""Only workers that fail more tasks than others are quarantined.

Played on a branch under full load, where each worker ends dozens of tasks a second.
"""

import asyncio
import random

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

ORDINARY_FAILURE_RATIO = 0.05
TASK_SECONDS = 0.3
LOAD_SECONDS = 8.0
JOB_INTERVAL_SECONDS = 0.025
STEP = StepSpec(6, 1000, 10, estimate_ms=300)
QUARANTINED = "worker is quarantined"


def make_plan(seed, failure_ratio):
    """Return a plan in which this share of the runs fails."""

    def plan(task, run):
        rng = random.Random(f"{seed}/{task}/{run}")
        outcome = "failed" if rng.random() < failure_ratio else "done"
        return Plan(rng.uniform(0.5, 1.5) * TASK_SECONDS, outcome)

    return plan


async def submit_jobs(branch, seconds):
    """Submit more jobs than the workers can finish, for some time."""
    for number in range(round(seconds / JOB_INTERVAL_SECONDS)):
        await branch.submit("e0", f"{number:016x}", STEP)
        await asyncio.sleep(JOB_INTERVAL_SECONDS)


def quarantined_workers(caplog):
    return {line.worker for line in caplog.records if line.msg == QUARANTINED}


@pytest.mark.parametrize("seed", range(4))
@on_virtual_time
async def test_sound_worker_is_not_quarantined_for_ordinary_failures(seed, caplog):
    plan = make_plan(seed, ORDINARY_FAILURE_RATIO)
    async with open_branch(plan, attempts=4) as branch:
        await submit_jobs(branch, LOAD_SECONDS)
        assert branch.counters.count("end.failed") > 20
        assert not quarantined_workers(caplog)


@pytest.mark.parametrize("seed", range(4))
@on_virtual_time
async def test_worker_that_fails_all_its_tasks_is_quarantined_soon(seed, caplog):
    plan = make_plan(seed, ORDINARY_FAILURE_RATIO)
    async with open_branch(plan, attempts=4) as branch:
        faulty = branch.worker_by_name["w0"]
        faulty.plan = make_plan(seed, 1.0)
        await submit_jobs(branch, 2.0)
        assert quarantined_workers(caplog) == {faulty.worker}
