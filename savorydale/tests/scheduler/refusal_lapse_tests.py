"""A remembered refusal lapses once a worker becomes usable that it did not see."""

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.runs import Run
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    QUEUE,
    SERVICE,
    PlannerFixture,
    clear_runs,
    slow_scoring,
    suspect,
)

JOB = "ffffffffffffffff"
FIRST, SECOND, THIRD = [QUEUE._replace(priority=number) for number in range(3)]
ROUND_SECONDS = 0.1
STEP_SECONDS = 0.01
REFUSED_STEPS = 300
# Neither fits on the open worker: a gang twice, a service beside the headroom.
WIDE_GANG = StepSpec(2, 11_500, 1000, estimate_ms=500, gang=True)
LARGE_SERVICE = SERVICE._replace(cpu_millicores=11_900)
BATCH = StepSpec(100, 2000, 1000, estimate_ms=500)  # takes all workers


def fill(fixture, worker, millicores):
    spec = SERVICE._replace(cpu_millicores=millicores)
    run = Run(TaskId(f"filler-{millicores}", 0, 0, 0), 1, spec, 0.0)
    fixture.state.link_by_worker[worker].reserve(run)


def quarantine(fixture, link):
    fixture.state.health_of(link.worker).quarantine_ends_at = 1e9


def end_quarantine(fixture, link):
    fixture.state.health_of(link.worker).quarantine_ends_at = 0.0


def stall(fixture, link):
    fixture.state.health_of(link.worker).stall_ends_at = 1e9


def end_stall(fixture, link):
    fixture.state.health_of(link.worker).stall_ends_at = 0.0


def drain(fixture, link):
    link.info = link.info._replace(is_draining=True)


def end_drain(fixture, link):
    link.info = link.info._replace(is_draining=False)


def unregister(fixture, link):
    link.is_registered = False


def register(fixture, link):
    link.is_registered = True


def lose_contact(fixture, link):
    link.is_in_contact = lambda now: False


def regain_contact(fixture, link):
    del link.is_in_contact


def hold_for_a_suspect(fixture, link):
    fill(fixture, "w1", 8200)  # the capacity of held workers needs no headroom
    clear_runs(fixture, link.worker)
    suspect(fixture, fixture.submit("suspect", SERVICE))
    fixture.planner.plan()  # the suspect is on probation from here on


def end_isolation(fixture, link):
    clear_runs(fixture, link.worker)


@pytest.mark.parametrize(
    ("begin", "end"),
    [
        (quarantine, end_quarantine),
        (stall, end_stall),
        (drain, end_drain),
        (unregister, register),
        (lose_contact, regain_contact),
        (hold_for_a_suspect, end_isolation),
    ],
)
@on_virtual_time
async def test_service_is_tried_in_the_round_in_which_a_worker_becomes_usable(
    begin, end
):
    fixture = PlannerFixture(workers=2)
    link = fixture.state.link_by_worker["w0"]
    fill(fixture, "w1", 8000)
    begin(fixture, link)
    for number in range(REFUSED_STEPS):
        fixture.submit(f"{number:016x}", WIDE_GANG, THIRD)
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, STEP_SECONDS):
        await fixture.plan(seconds=5)
        fixture.submit(JOB, LARGE_SERVICE, FIRST)
        await fixture.plan(ROUND_SECONDS)  # it is refused from here on
        end(fixture, link)
        fixture.submit("batch", BATCH, SECOND)
        starts = await fixture.plan(ROUND_SECONDS)
    assert (JOB, "w0") in [(each.run.task.job, each.link.worker) for each in starts]
