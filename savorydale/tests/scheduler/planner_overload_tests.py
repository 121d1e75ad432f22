"""No waiting step is passed over for long while rounds of planning are cut off."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.scheduler import planner as planner_module
from savorydale.scheduler.planner import MAX_ROUND_SECONDS
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    ADVISED,
    BACKFILL,
    QUEUE,
    SERVICE,
    FailingPolicy,
    PlannerFixture,
    clear_runs,
    slow_scoring,
    suspect,
)

JOB = "ffffffffffffffff"
MAX_WAIT_SECONDS = 3.0  # for a task whose capacity is free
REFUSED_STEPS = 300
STEP_SECONDS = 0.005
SLOW_STEPS = 30
PAUSE_SECONDS = 0.1  # between two rounds of the fixture
URGENT = QUEUE._replace(priority=0, objective_ms=1_000_000.0)
LOWEST = QUEUE._replace(priority=9)
HOPELESS = QUEUE._replace(stretch=0.0, objective_ms=0.0)  # each job is too late at once
SMALL_SERVICE = SERVICE._replace(cpu_millicores=1000)
SMALL_BATCH = StepSpec(1, 1000, 1000, estimate_ms=500)
# Steps that need all workers to be scored, and fit on none.
WIDE_GANG = StepSpec(2, 20_000, 1000, estimate_ms=500, gang=True)
LARGE_SERVICE = SERVICE._replace(cpu_millicores=20_000, max_per_worker=1)


def submit_refused_steps(fixture, count, spec):
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    for number in range(count):
        fixture.submit(f"{number:016x}", spec, URGENT)


async def seconds_until_placed(fixture, job, max_seconds):
    """Plan until a job is placed; return for how long it has waited."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() - started_at < max_seconds:
        if job in [start.run.task.job for start in await fixture.plan(0.1)]:
            return loop.time() - started_at
    return None


@pytest.mark.parametrize(
    ("refused", "count", "step_seconds"),
    [
        (WIDE_GANG, 300, 0.01),
        (WIDE_GANG, 2000, 0.002),
        (WIDE_GANG, 100, 0.06),
        (LARGE_SERVICE, 300, 0.01),
    ],
)
@on_virtual_time
async def test_service_of_the_lowest_priority_is_placed_while_rounds_are_cut_off(
    refused, count, step_seconds
):
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, count, refused)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, step_seconds):
        await fixture.plan(5)
        fixture.submit(JOB, SMALL_SERVICE, LOWEST)
        seconds = await seconds_until_placed(fixture, JOB, 20)
    assert seconds is not None
    assert seconds <= MAX_WAIT_SECONDS


@pytest.mark.parametrize("refused", [WIDE_GANG, LARGE_SERVICE])
@pytest.mark.parametrize("spec", [SMALL_SERVICE, SMALL_BATCH])
@on_virtual_time
async def test_each_waiting_step_has_a_turn_within_the_bound(spec, refused):
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, REFUSED_STEPS, refused)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, STEP_SECONDS):
        await fixture.plan(5)
        fixture.submit(JOB, spec, LOWEST)
        seconds = await seconds_until_placed(fixture, JOB, 60)
    assert seconds is not None
    assert seconds <= (REFUSED_STEPS + 1) * (MAX_ROUND_SECONDS + PAUSE_SECONDS)


@pytest.mark.parametrize("spec", [SMALL_SERVICE, SMALL_BATCH])
@on_virtual_time
async def test_step_is_placed_though_ranking_takes_longer_than_a_round(spec):
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, 100, WIDE_GANG)
    fixture.submit(JOB, spec, LOWEST)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.001) as spend:
        rank_step = planner_module.rank_step

        def rank_slowly(*args):
            spend(0.001)
            return rank_step(*args)

        patch.setattr(planner_module, "rank_step", rank_slowly)
        seconds = await seconds_until_placed(fixture, JOB, 20)
    assert seconds is not None
    assert seconds <= MAX_WAIT_SECONDS


@pytest.mark.parametrize(
    "spec",
    [
        SERVICE._replace(cpu_millicores=30_000),
        SERVICE._replace(memory_mb=200_000),
        SERVICE._replace(required_label="gpu"),
        StepSpec(1, 2000, 1000, estimate_ms=500, required_label="gpu"),
        StepSpec(1, 2000, 1000, estimate_ms=500, accelerators=1),
    ],
)
@on_virtual_time
async def test_step_that_no_worker_can_take_is_refused_without_scoring(spec):
    fixture = PlannerFixture(workers=3)
    fixture.submit(JOB, spec)
    loop = asyncio.get_running_loop()
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.01):
        started_at = loop.time()
        fixture.planner.plan()
        assert loop.time() == started_at
    assert sum(fixture.planner.take_counts().steps_refused.values()) == 1


@on_virtual_time
async def test_suspect_is_placed_though_another_suspect_of_its_step_is_refused():
    fixture = PlannerFixture(workers=4)
    job = fixture.submit(JOB, SERVICE._replace(task_count=2))
    [step] = job.steps_of(0)
    other = step.tasks[0]
    fixture.state.job_tracker.assign(step, other, "w9")
    suspect(fixture, job, index=1)
    await fixture.plan(0.1)  # a worker is reserved for the second task
    reservations = fixture.planner._isolation._reservation_by_task
    [reservation] = reservations.values()
    fixture.state.job_tracker.release(other, step, asyncio.get_running_loop().time())
    suspect(fixture, job, index=0)
    await fixture.plan(0.1)  # the first task waits, too
    clear_runs(fixture, reservation.worker)
    starts = await fixture.plan(0.5)
    assert [(start.run.task, start.link.worker) for start in starts] == [
        (TaskId(JOB, 0, 0, 1), reservation.worker)
    ]


@pytest.mark.parametrize("spec", [SMALL_SERVICE, SMALL_BATCH])
@on_virtual_time
async def test_each_step_has_a_turn_though_one_step_uses_up_a_round(spec):
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, SLOW_STEPS, WIDE_GANG)
    rounds = 0
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.2):
        await fixture.plan(5)
        fixture.submit(JOB, spec, LOWEST)
        while JOB not in [start.run.task.job for start in await fixture.plan(0.1)]:
            rounds += 1
            assert rounds <= SLOW_STEPS


@pytest.mark.parametrize(
    ("spec", "queue"),
    [
        (LARGE_SERVICE._replace(max_per_worker=0), QUEUE),
        (SERVICE._replace(task_count=2, max_per_worker=1), QUEUE),
        (SERVICE, ADVISED),
        (BACKFILL._replace(task_count=1, cpu_millicores=28_000), QUEUE),
    ],
    ids=["headroom", "limit_per_worker", "no_ticket", "too_slow"],
)
@on_virtual_time
async def test_no_worker_is_reserved_for_a_suspect_that_it_could_not_take(spec, queue):
    fixture = PlannerFixture(workers=1, policy=FailingPolicy())
    fixture.train_model(tail_ms=200.0)
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    job = fixture.submit("suspect", spec, queue)
    [step] = job.steps_of(0)
    if spec.max_per_worker:
        fixture.state.job_tracker.assign(step, step.tasks[1], "w0")
    suspect(fixture, job)
    await fixture.plan(0.1)
    fixture.submit(JOB, SMALL_SERVICE)
    seconds = await seconds_until_placed(fixture, JOB, 20)
    assert seconds is not None
    assert seconds <= 0.2


@on_virtual_time
async def test_service_needs_no_headroom_though_a_worker_with_capacity_is_held():
    fixture = PlannerFixture(workers=2)
    clear_runs(fixture, "w0", "w1")
    suspect(fixture, fixture.submit("suspect", SMALL_SERVICE))
    assert len(await fixture.plan(0.1)) == 1  # its worker is held from here on
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    fixture.submit(JOB, LARGE_SERVICE)
    seconds = await seconds_until_placed(fixture, JOB, 20)
    assert seconds is not None
    assert seconds <= MAX_WAIT_SECONDS


@on_virtual_time
async def test_job_that_cannot_meet_its_cutoff_takes_no_turn_before_others():
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, REFUSED_STEPS, WIDE_GANG)
    batch = StepSpec(1, 16_000, 1000, estimate_ms=500)  # one at a time fits
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, STEP_SECONDS):
        fixture.submit("late", batch, HOPELESS)
        await fixture.plan(5)
        fixture.submit(JOB, batch, LOWEST._replace(objective_ms=1_000_000.0))
        seconds = await seconds_until_placed(fixture, JOB, 60)
    assert seconds is not None


@on_virtual_time
async def test_job_that_cannot_meet_its_cutoff_has_a_turn_if_capacity_is_ample():
    fixture = PlannerFixture(workers=1)
    submit_refused_steps(fixture, REFUSED_STEPS, WIDE_GANG)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, STEP_SECONDS):
        fixture.submit(JOB, SMALL_BATCH, HOPELESS)
        seconds = await seconds_until_placed(fixture, JOB, 20)
    assert seconds is not None
    assert seconds <= MAX_WAIT_SECONDS
