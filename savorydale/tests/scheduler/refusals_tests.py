"""Why services are refused is found within a bound of each round's time."""

import asyncio

import pytest

from savorydale.jobs.model import TaskId
from savorydale.scheduler import refusals as refusals_module
from savorydale.scheduler.refusals import MAX_REASONS_PER_ROUND
from savorydale.scheduler.waiting import WaitReason
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import ADVISED, SERVICE, PlannerFixture

SERVICES = 120
LARGE = SERVICE._replace(cpu_millicores=30_000)


class SilentPolicy:
    """A policy service that never answers."""

    async def query(self, step, workers):
        await asyncio.sleep(3600)


@pytest.fixture
def searches(monkeypatch):
    found = []
    find = refusals_module.find_refusal_reason

    def find_and_count(*args):
        found.append(args)
        return find(*args)

    monkeypatch.setattr(refusals_module, "find_refusal_reason", find_and_count)
    return found


def reasons_of(fixture):
    decisions = [
        fixture.planner.wait_decisions.find(TaskId(f"{number:016x}", 0, 0, 0))
        for number in range(SERVICES)
    ]
    return {decision.reason if decision else None for decision in decisions}


@on_virtual_time
async def test_reason_is_not_searched_for_each_of_many_services_that_are_alike(
    searches,
):
    fixture = PlannerFixture(workers=3)
    for number in range(SERVICES):
        fixture.submit(f"{number:016x}", LARGE._replace(image=f"image-{number}"))
    await fixture.plan(seconds=3)
    assert reasons_of(fixture) == {WaitReason.NO_CAPACITY}
    assert len(searches) <= 4


@pytest.mark.parametrize("is_advised", [False, True])
@on_virtual_time
async def test_reasons_of_many_different_services_do_not_use_up_the_rounds(
    searches, is_advised
):
    fixture = PlannerFixture(workers=3, policy=SilentPolicy())
    for number in range(SERVICES):
        if is_advised:
            fixture.submit(f"{number:016x}", SERVICE, ADVISED)
        else:
            spec = LARGE._replace(cpu_millicores=30_000 + number)
            fixture.submit(f"{number:016x}", spec)
    for _ in range(SERVICES // MAX_REASONS_PER_ROUND + 1):
        count = len(searches)
        await fixture.plan(seconds=0.1)
        assert len(searches) - count <= MAX_REASONS_PER_ROUND
    reason = WaitReason.NO_TICKET if is_advised else WaitReason.NO_CAPACITY
    assert reasons_of(fixture) == {reason}
