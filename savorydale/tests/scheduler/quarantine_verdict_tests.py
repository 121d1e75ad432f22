"""Verdicts on sound and on faulty workers, from the ends of their runs.

Guarded failures: failures of services long ago quarantine a sound worker; a burst of
jobs that cannot be done quarantines sound workers; a worker that fails every task of a
few large jobs is never left out; a service that once failed on a worker has no last
resort there for good.
"""

import random

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import SERVICE, PlannerFixture

MINUTE = 60.0
BURST_BEGINS_AT, BURST_ENDS_AT, PLAY_ENDS_AT = 3.0, 6.0, 9.0
ROUND_SECONDS = 0.1
ORDINARY_FAILURE_RATIO = 0.03
MAX_WAIT_SECONDS = 3.0
ENDLESS = 1e9
LARGE_STEP = StepSpec(101, 1000, 10, estimate_ms=500)


def record_end(fixture, link, job, has_failed, now, index=0):
    reason = EndReason.FAILED if has_failed else EndReason.DONE
    end = EndedRun(1, TaskId(job, 0, 0, index), 1, reason, "")
    return fixture.state.record_end(link, end, now).begins_quarantine


@on_virtual_time
async def test_rare_failures_of_services_quarantine_no_sound_worker():
    fixture = PlannerFixture(workers=3)
    quarantines = 0
    for number in range(30):  # one failure a minute on each worker alike
        for position, link in enumerate(fixture.state.links):
            now = number * MINUTE + position
            job = f"service-{number}-{position}"
            quarantines += record_end(fixture, link, job, True, now)
    assert quarantines == 0


@pytest.mark.parametrize("share", [0.3, 0.5])
@pytest.mark.parametrize("workers", [10, 60])
@pytest.mark.parametrize("seed", range(3))
@on_virtual_time
async def test_burst_of_jobs_that_fail_everywhere_quarantines_no_sound_worker(
    seed, workers, share
):
    rng = random.Random(f"{seed}/{workers}/{share}")
    fixture = PlannerFixture(workers)
    quarantined = set()
    for number in range(round(PLAY_ENDS_AT / ROUND_SECONDS)):
        now = number * ROUND_SECONDS
        is_burst = BURST_BEGINS_AT <= now < BURST_ENDS_AT
        ratio = share if is_burst else ORDINARY_FAILURE_RATIO
        for link in fixture.state.links:
            if fixture.state.health_of(link.worker).is_quarantined(now):
                continue
            for index in range(3):  # 30 ends a second, of as many jobs
                job = f"{number}-{link.worker}-{index}"
                if record_end(fixture, link, job, rng.random() < ratio, now):
                    quarantined.add(link.worker)
    assert not quarantined


@pytest.mark.parametrize("jobs", [2, 3, 4])
@on_virtual_time
async def test_worker_that_fails_every_task_of_a_few_large_jobs_is_left_out(jobs):
    rng = random.Random(jobs)
    fixture = PlannerFixture(workers=10)
    faulty = fixture.state.links[0]
    for job in range(jobs):
        [step] = fixture.submit(f"job-{job}", LARGE_STEP).steps_of(0)
        step.mark_done(step.tasks[-1])
    for number in range(100):
        now = number * ROUND_SECONDS
        for link in fixture.state.links:
            job = f"job-{rng.randrange(jobs)}"
            has_failed = link is faulty or rng.random() < ORDINARY_FAILURE_RATIO
            if record_end(fixture, link, job, has_failed, now, number):
                assert link is faulty
                return
    raise AssertionError("the worker failed 100 runs in a row and is not left out")


@on_virtual_time
async def test_service_that_failed_once_long_ago_has_a_last_resort():
    fixture = PlannerFixture(workers=2)
    here, other = fixture.state.links
    fill = SERVICE._replace(cpu_millicores=28_000)
    other.reserve(Run(TaskId("filler", 0, 0, 0), 1, fill, 0.0))
    job = "ffffffffffffffff"
    record_end(fixture, here, job, True, -10 * MINUTE)  # of its only replica
    fixture.state.health_of(here.worker).stall_ends_at = ENDLESS
    fixture.submit(job, SERVICE)
    starts = await fixture.plan(seconds=10)
    assert starts, "the service waits for as long as the worker seems stalled"
    assert starts[0].run.assigned_at <= MAX_WAIT_SECONDS


@pytest.mark.parametrize("seed", range(5))
@on_virtual_time
async def test_share_that_fails_on_all_workers_alike_quarantines_none(seed):
    rng = random.Random(seed)
    fixture = PlannerFixture(workers=10)
    for number in range(200):
        now = number * ROUND_SECONDS
        for link in fixture.state.links:
            for index in range(3):
                job = f"{number}-{link.worker}-{index}"
                has_failed = rng.random() < 0.4
                assert not record_end(fixture, link, job, has_failed, now)
