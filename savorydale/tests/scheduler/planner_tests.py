"""Planning rounds place the tasks that fit, and reach all waiting steps."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.runs import Run
from savorydale.placement.advice import MAX_PENDING_QUERIES
from savorydale.placement.choice import MIN_BACKFILL_SPEED
from savorydale.placement.isolation_waits import MAX_SECONDS_AFTER_CRASH
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    ADVISED,
    BACKFILL,
    BASE_TAIL_MS,
    SERVICE,
    FailingPolicy,
    PlannerFixture,
    clear_runs,
    slow_ranking,
    slow_scoring,
    suspect,
)

FREED_AT_ROUND = 30  # rounds are 0.1 s apart
MAX_SERVICE_WAIT_SECONDS = 3.0  # for a service whose capacity is free


@on_virtual_time
async def test_job_starts_one_backfill_task_if_all_workers_are_below_min_speed():
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=200.0)
    for number in range(4):
        fixture.submit(f"{number:016x}", BACKFILL)
    starts = await fixture.plan(seconds=8)
    speeds = {
        fixture.state.colocation.speed_of(link, BACKFILL)
        for link in fixture.state.links
    }
    assert max(speeds) < MIN_BACKFILL_SPEED
    assert sorted(start.run.task.job for start in starts) == [
        f"{number:016x}" for number in range(4)
    ]


@on_virtual_time
async def test_backfill_without_effect_on_services_is_placed_at_once():
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=BASE_TAIL_MS)
    fixture.submit("00000000000000a1", BACKFILL)
    assert len(await fixture.plan(seconds=0.1)) == BACKFILL.task_count


@on_virtual_time
async def test_steps_that_do_not_fit_do_not_use_up_a_round():
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=BASE_TAIL_MS)
    large = StepSpec(20, 30_000, 1000, long_running=True, max_per_worker=1)
    for number in range(10):
        fixture.submit(f"{number:016x}", large)
    assert not await fixture.plan(seconds=2)
    fixture.submit("00000000000000f1", BACKFILL)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.01):
        fixture.planner.plan()
    assert len(fixture.planner.take_starts()) == BACKFILL.task_count


@on_virtual_time
async def test_round_continues_where_the_previous_one_was_cut_off():
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=BASE_TAIL_MS)
    # Only this worker has the label, and the steps that require it do not fit.
    fixture.add_worker(
        "labelled", ("special",), SERVICE._replace(cpu_millicores=31_000)
    )
    for number in range(30):
        spec = StepSpec(1, 2000, 1000, estimate_ms=100, required_label="special")
        fixture.submit(f"{number:016x}", spec)
    fixture.submit("00000000000000f1", BACKFILL)
    starts = []
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.01):
        for _ in range(7):
            fixture.planner.plan()
            starts += fixture.planner.take_starts()
    assert len(starts) == BACKFILL.task_count


@on_virtual_time
async def test_service_is_tried_again_though_no_round_reaches_all_steps():
    # New steps come faster than rounds consider them, so each round is cut off.
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=BASE_TAIL_MS)
    busy = Run(TaskId("busy", 0, 0, 0), 1, SERVICE._replace(cpu_millicores=28_000), 0)
    link = fixture.state.link_by_worker["w0"]
    link.reserve(busy)
    step = SERVICE._replace(cpu_millicores=10_000, required_label="large")
    link.info = link.info._replace(labels=("large",))
    fixture.submit("00000000000000a1", step)
    loop = asyncio.get_running_loop()
    started_at = None
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.01):
        for number in range(200):
            if number == FREED_AT_ROUND:
                link._remove(busy)
                freed_at = loop.time()
            for extra in range(10):
                spec = BACKFILL._replace(task_count=1, image=f"image-{extra}")
                fixture.submit(f"{number:08x}{extra:08x}", spec)
            for each in fixture.state.links:
                each.last_contact_at = loop.time()
            assert not fixture.planner.plan()
            jobs = [start.run.task.job for start in fixture.planner.take_starts()]
            if "00000000000000a1" in jobs:
                started_at = loop.time()
                break
            await asyncio.sleep(0.05)
    assert started_at is not None
    assert started_at - freed_at <= MAX_SERVICE_WAIT_SECONDS


@on_virtual_time
async def test_tasks_are_placed_though_ranking_the_queue_outlasts_a_round():
    fixture = PlannerFixture(workers=3)
    fixture.train_model(tail_ms=BASE_TAIL_MS)
    for number in range(100):
        step = StepSpec(1, 30_000, 1000, estimate_ms=500)  # fits on no worker
        fixture.submit(f"{number:016x}", step)
    fixture.submit("00000000000000f1", BACKFILL)
    with pytest.MonkeyPatch.context() as patch, slow_ranking(patch, 0.002):
        starts = await fixture.plan(seconds=1)
    assert len(starts) == BACKFILL.task_count


@on_virtual_time
async def test_suspect_is_placed_apart_from_the_other_tasks_of_its_step():
    fixture = PlannerFixture(workers=4)
    clear_runs(fixture, "w0", "w1", "w2")
    job = fixture.submit("j", StepSpec(6, 2000, 1000, estimate_ms=500))
    task = suspect(fixture, job, index=3)
    starts = await fixture.plan(0.1)
    worker_by_task = {start.run.task: start.link.worker for start in starts}
    others = {worker for other, worker in worker_by_task.items() if other != task}
    assert len(worker_by_task) == 6
    assert worker_by_task[task] not in {*others, "w3"}
    assert [start.run.task for start in starts if start.run.is_isolated] == [task]


@on_virtual_time
async def test_waiting_suspect_holds_up_no_other_task_for_good():
    fixture = PlannerFixture(workers=1)
    job = fixture.submit("j", StepSpec(1, 2000, 1000, estimate_ms=500))
    suspect(fixture, job)
    fixture.submit("k", StepSpec(1, 2000, 1000, estimate_ms=500))
    starts = await fixture.plan(8)
    assert [start.run.task.job for start in starts] == ["k"]
    clear_runs(fixture, "w0")
    starts = await fixture.plan(0.1)
    assert [start.run.task.job for start in starts] == ["j"]


@on_virtual_time
async def test_long_running_suspect_starts_beside_others_some_time_after_the_crash():
    fixture = PlannerFixture(workers=1)
    suspect(fixture, fixture.submit("j", SERVICE))
    assert await fixture.plan(MAX_SECONDS_AFTER_CRASH - 0.1) == []
    [start] = await fixture.plan(0.3)
    assert not start.run.is_isolated
    fixture.submit("k", SERVICE)
    [start] = await fixture.plan(0.1)
    assert start.run.task.job == "k"


@on_virtual_time
async def test_gang_with_a_suspect_is_placed_without_enough_workers_for_isolation():
    fixture = PlannerFixture(workers=2)
    clear_runs(fixture, "w0")
    gang = StepSpec(2, 20_000, 1000, estimate_ms=500, gang=True)
    suspect(fixture, fixture.submit("j", gang))
    starts = await fixture.plan(0.1)
    assert sorted(start.link.worker for start in starts) == ["w0", "w1"]


@on_virtual_time
async def test_step_is_queried_again_after_an_unexpected_error_of_the_query():
    policy = FailingPolicy(failures=MAX_PENDING_QUERIES)
    fixture = PlannerFixture(workers=1, policy=policy)
    for number in range(MAX_PENDING_QUERIES):
        fixture.submit(f"{number:016x}", SERVICE, ADVISED)
    await fixture.plan(3)
    again = policy.steps[MAX_PENDING_QUERIES:]
    assert len({step.job for step in again}) == MAX_PENDING_QUERIES
