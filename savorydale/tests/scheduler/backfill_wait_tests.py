"""A job of which nothing runs gets a backfill task while the fleet has capacity."""

import asyncio

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.runs import Run, RunState
from savorydale.placement.choice import MIN_BACKFILL_SPEED
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import BACKFILL, PlannerFixture

MAX_IDLE_SECONDS = 3.0  # a ready job may have nothing running for this long
OTHER_BACKFILL = StepSpec(
    1, 20_000, 1000, estimate_ms=60_000, image="export", backfill=True
)
JOB = "00000000000000a1"


def make_throttled_fixture(workers=3):
    """Return a fleet on which every worker throttles `BACKFILL` to almost nothing."""
    fixture = PlannerFixture(workers)
    fixture.train_model(tail_ms=200.0)
    for link in fixture.state.links:
        assert fixture.state.colocation.speed_of(link, BACKFILL) < MIN_BACKFILL_SPEED
    return fixture


def add_run(fixture, worker, spec):
    """Let a run of another job be active on a worker."""
    task = TaskId(f"other-{worker}", 0, 0, 0)
    run = Run(task, 1, spec, 0.0, RunState.ACTIVE, passed_probation=True)
    fixture.state.link_by_worker[worker].reserve(run)
    return run


async def first_start_seconds(fixture, seconds):
    """Return when the first start is planned, or fail."""
    began_at = asyncio.get_running_loop().time()
    starts = await fixture.plan(seconds)
    assert starts, f"nothing is started within {seconds} s"
    return starts[0].run.assigned_at - began_at


@on_virtual_time
async def test_idle_job_starts_within_its_bound_on_an_unused_fleet():
    fixture = make_throttled_fixture()
    fixture.submit(JOB, BACKFILL)
    assert await first_start_seconds(fixture, 30) <= MAX_IDLE_SECONDS


@on_virtual_time
async def test_idle_job_does_not_wait_for_ever_beside_other_backfill():
    fixture = make_throttled_fixture()
    for link in fixture.state.links:
        add_run(fixture, link.worker, OTHER_BACKFILL)
    fixture.submit(JOB, BACKFILL)
    assert await first_start_seconds(fixture, 30) <= MAX_IDLE_SECONDS


@on_virtual_time
async def test_idle_job_does_not_wait_until_its_share_of_cpu_is_above_zero():
    fixture = make_throttled_fixture()
    for link in fixture.state.links:
        # The services started after the backfill, which uses all that they leave.
        add_run(fixture, link.worker, OTHER_BACKFILL._replace(cpu_millicores=31_000))
    fixture.submit(JOB, BACKFILL)
    assert await first_start_seconds(fixture, 30) <= MAX_IDLE_SECONDS


@on_virtual_time
async def test_job_does_not_wait_for_its_run_on_a_silent_worker():
    fixture = make_throttled_fixture()
    fixture.add_worker("silent")
    silent = fixture.state.link_by_worker["silent"]
    silent.is_in_contact = lambda now: False
    [step] = fixture.submit(JOB, BACKFILL).steps_of(0)
    task = step.tasks[0]
    silent.reserve(Run(task.id, 1, BACKFILL, 0.0, RunState.ACTIVE))
    fixture.state.job_tracker.assign(step, task, silent.worker)
    assert await first_start_seconds(fixture, 30) <= MAX_IDLE_SECONDS


@on_virtual_time
async def test_gang_of_backfill_is_placed_at_any_speed_as_a_whole():
    fixture = make_throttled_fixture()
    gang = BACKFILL._replace(task_count=3, gang=True)
    fixture.submit(JOB, gang)
    assert len(await fixture.plan(30)) == gang.task_count
