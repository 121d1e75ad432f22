"""Backfill that gets no CPU says nothing about the health of its worker."""

import asyncio

from savorydale.counters import Counters
from savorydale.jobs.model import TaskId
from savorydale.orders.runs import Run, RunState
from savorydale.scheduler.run_mover import RunMover
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    BACKFILL,
    SERVICE,
    PlannerFixture,
)

BATCH = SERVICE._replace(long_running=False, latency_target_ms=0, estimate_ms=1000)
STARVED = BACKFILL._replace(cpu_millicores=4000)
SECONDS = 6.0


async def is_quarantined(batch_millicores):
    """Return whether a worker is quarantined after backfill made no progress."""
    fixture = PlannerFixture(workers=1)
    [link] = fixture.state.links
    link.stop = lambda run: None
    spec = BATCH._replace(cpu_millicores=batch_millicores)
    batch = Run(TaskId("batch", 0, 0, 0), 1, spec, 0.0, RunState.ACTIVE)
    backfill = Run(TaskId("backfill", 0, 0, 0), 1, STARVED, 0.0, RunState.ACTIVE)
    link.reserve(batch)
    link.reserve(backfill)
    mover = RunMover(fixture.state, Counters())
    for tick in range(round(SECONDS / 0.1)):
        now = asyncio.get_running_loop().time()
        link.last_contact_at = now
        batch.record_progress(float(tick), now)
        mover.move_runs()
        await asyncio.sleep(0.1)
    return fixture.state.health_of(link.worker).is_quarantined(now)


@on_virtual_time
async def test_worker_whose_cpu_other_tasks_use_up_is_not_quarantined():
    assert not await is_quarantined(28_000)


@on_virtual_time
async def test_worker_that_has_unused_cpu_is_quarantined():
    assert await is_quarantined(1000)


@on_virtual_time
async def test_quarantine_because_of_stalled_runs_is_logged(caplog):
    assert await is_quarantined(1000)
    [line] = [each for each in caplog.records if each.msg == "worker is quarantined"]
    assert line.reason == "runs make no progress"
    assert (line.runs, line.stalled) == (3, 1)
