"""An overdue service without another place uses a quarantined or reserved worker."""

import asyncio

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run
from savorydale.queueing.order import SERVICE_OVERDUE_SECONDS
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    ADVISED,
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
ENDLESS = 1e9
ROUND_SECONDS = 0.1
BATCH = StepSpec(1000, 4000, 1000, estimate_ms=500)
WIDE_GANG = StepSpec(2, 15_000, 1000, estimate_ms=500, gang=True)


def quarantine_for_failures(fixture, worker="w0"):
    fixture.state.health_of(worker).quarantine_ends_at = ENDLESS


def quarantine_for_stalls(fixture, worker="w0"):
    fixture.state.health_of(worker).stall_ends_at = ENDLESS


def fill(fixture, worker, millicores=28_000):
    spec = SERVICE._replace(cpu_millicores=millicores)
    run = Run(TaskId(f"filler-{worker}", 0, 0, 0), 1, spec, 0.0)
    fixture.state.link_by_worker[worker].reserve(run)


def fixture_with_one_quarantined(workers, policy=None):
    """Return a fixture of which all workers but a quarantined one are full."""
    fixture = PlannerFixture(workers, policy)
    quarantine_for_failures(fixture)
    for number in range(1, workers):
        fill(fixture, f"w{number}")
    return fixture


def fail(fixture, start):
    """Let a run end as failed."""
    now = asyncio.get_running_loop().time()
    end = EndedRun(1, start.run.task, start.run.number, EndReason.FAILED, "")
    fixture.state.record_end(start.link, end, now)
    step, task = fixture.state.job_tracker.find_task(start.run.task)
    start.link.unreserve(start.run)
    fixture.state.job_tracker.release(task, step, now)


@pytest.mark.parametrize("workers", [1, 2, 3])
@pytest.mark.parametrize("quarantine", [quarantine_for_failures, quarantine_for_stalls])
@on_virtual_time
async def test_service_without_another_place_does_not_wait_for_a_quarantine(
    quarantine, workers
):
    fixture = PlannerFixture(workers)
    quarantine(fixture)
    for number in range(1, workers):
        fill(fixture, f"w{number}")
    fixture.submit(JOB, SERVICE)
    [start] = await fixture.plan(seconds=10)
    assert start.link.worker == "w0"
    assert start.run.assigned_at <= MAX_WAIT_SECONDS


@pytest.mark.parametrize("quarantine", [quarantine_for_failures, quarantine_for_stalls])
@on_virtual_time
async def test_service_beside_a_flow_of_batch_work_does_not_wait_for_a_quarantine(
    quarantine,
):
    fixture = PlannerFixture(workers=3)
    quarantine(fixture)
    fixture.submit("batch", BATCH)
    fixture.submit(JOB, SERVICE)
    running, placed = await fixture.plan(ROUND_SECONDS), []
    for _ in range(round(10 / ROUND_SECONDS)):
        ended = running.pop(0)  # one at a time, so that no service is ranked first
        ended.link.unreserve(ended.run)
        for start in await fixture.plan(ROUND_SECONDS):
            (running if start.run.task.job == "batch" else placed).append(start)
    assert {start.link.worker for start in running} == {"w1", "w2"}
    [start] = placed
    assert start.link.worker == "w0"
    assert start.run.assigned_at <= MAX_WAIT_SECONDS


@pytest.mark.parametrize("millicores", [13_000, 23_000])
@on_virtual_time
async def test_service_does_not_wait_for_a_quarantine_while_rounds_are_cut_off(
    millicores,
):
    fixture = fixture_with_one_quarantined(workers=2)
    fixture.add_worker("scored")
    fill(fixture, "scored", 8000)
    quarantine_for_failures(fixture, "twin")
    fixture.add_worker("twin")
    for number in range(300):
        fixture.submit(f"{number:016x}", WIDE_GANG, QUEUE._replace(priority=0))
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.01):
        await fixture.plan(5)
        fixture.submit(JOB, SERVICE._replace(cpu_millicores=millicores))
        submitted_at = asyncio.get_running_loop().time()
        [start] = await fixture.plan(seconds=4)
    assert start.link.worker in ("w0", "twin")
    assert start.run.assigned_at - submitted_at <= MAX_WAIT_SECONDS


@on_virtual_time
async def test_service_waits_until_overdue_before_it_uses_a_quarantined_worker():
    fixture = fixture_with_one_quarantined(workers=2)
    fixture.submit(JOB, SERVICE)
    assert await fixture.plan(seconds=SERVICE_OVERDUE_SECONDS - ROUND_SECONDS) == []


@on_virtual_time
async def test_worker_that_fails_everything_gets_each_service_once():
    fixture = fixture_with_one_quarantined(workers=2)
    fixture.submit(JOB, SERVICE._replace(task_count=3))
    starts = []
    for _ in range(round(20 / ROUND_SECONDS)):
        for start in await fixture.plan(ROUND_SECONDS):
            starts.append(start.run.task)
            fail(fixture, start)
    assert sorted(starts) == [TaskId(JOB, 0, 0, index) for index in range(3)]


@on_virtual_time
async def test_service_that_failed_there_does_not_hold_up_other_replicas():
    fixture = fixture_with_one_quarantined(workers=2)
    job = fixture.submit(JOB, SERVICE._replace(task_count=2))
    [step] = job.steps_of(0)
    step.tasks[0].excluded_workers = frozenset({"w0"})
    [start] = await fixture.plan(seconds=10)
    assert start.run.task == step.tasks[1].id
    assert start.run.assigned_at <= MAX_WAIT_SECONDS


def submit_batch(fixture):
    fixture.submit(JOB, BATCH)


def submit_gang(fixture):
    fixture.submit(JOB, SERVICE._replace(task_count=2, gang=True))


def submit_suspect(fixture):
    suspect(fixture, fixture.submit(JOB, SERVICE))


def submit_without_ticket(fixture):
    fixture.submit(JOB, SERVICE, ADVISED)


def submit_with_missing_label(fixture):
    fixture.submit(JOB, SERVICE._replace(required_label="gpu"))


def submit_and_drain(fixture):
    fixture.submit(JOB, SERVICE)
    link = fixture.state.link_by_worker["w0"]
    link.info = link.info._replace(is_draining=True)


def submit_and_unregister(fixture):
    fixture.submit(JOB, SERVICE)
    fixture.state.link_by_worker["w0"].is_registered = False


@pytest.mark.parametrize(
    "submit",
    [
        submit_batch,
        submit_gang,
        submit_suspect,
        submit_without_ticket,
        submit_with_missing_label,
        submit_and_drain,
        submit_and_unregister,
    ],
)
@on_virtual_time
async def test_no_other_task_and_no_unusable_worker_is_a_last_resort(submit):
    fixture = fixture_with_one_quarantined(workers=2, policy=FailingPolicy())
    submit(fixture)
    assert await fixture.plan(seconds=5) == []


@on_virtual_time
async def test_placement_as_a_last_resort_is_counted_and_logged(caplog):
    fixture = fixture_with_one_quarantined(workers=2)
    fixture.submit(JOB, SERVICE)
    with caplog.at_level("INFO"):
        assert len(await fixture.plan(seconds=3)) == 1
    [line] = [line for line in caplog.records if line.msg == "run assigned"]
    assert line.last_resort is True
    assert fixture.counters.count("run.assigned_as_last_resort") == 1


@pytest.mark.parametrize("workers", [1, 2, 3])
@on_virtual_time
async def test_service_without_another_place_does_not_wait_for_a_reservation(workers):
    fixture = PlannerFixture(workers)
    for number in range(1, workers):
        fill(fixture, f"w{number}")
    suspect(fixture, fixture.submit("suspect", SERVICE))
    await fixture.plan(ROUND_SECONDS)  # a worker is reserved from here on
    fixture.submit(JOB, SERVICE._replace(task_count=2))
    submitted_at = asyncio.get_running_loop().time()
    starts = await fixture.plan(seconds=5)  # before the suspect may start beside others
    assert [start.run.task.job for start in starts] == [JOB, JOB]
    assert starts[-1].run.assigned_at - submitted_at <= MAX_WAIT_SECONDS


@on_virtual_time
async def test_suspect_starts_apart_from_services_that_share_its_reserved_worker():
    fixture = PlannerFixture(workers=1)
    suspect(fixture, fixture.submit("suspect", SERVICE))
    await fixture.plan(ROUND_SECONDS)
    fixture.submit(JOB, SERVICE)
    starts = await fixture.plan(seconds=3)
    assert [start.run.task.job for start in starts] == [JOB]
    fixture.submit("later", SERVICE)
    clear_runs(fixture, "w0")
    starts = await fixture.plan(seconds=10)
    assert [start.run.task.job for start in starts] == ["suspect"]
