"""Replicas of a service share the scores of the workers during a planning round."""

import random

import pytest

from savorydale.placement.choice import WorkerChooser
from savorydale.scheduler import worker_scores as worker_scores_module
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    SERVICE,
    PlannerFixture,
    clear_runs,
    suspect,
)

MAX_SCORINGS_PER_SERVICE = 4


@pytest.fixture
def scorings(monkeypatch):
    found = []

    def score(*args):
        found.append(args)
        return WorkerChooser(*args)

    monkeypatch.setattr(worker_scores_module, "WorkerChooser", score)
    return found


def hold_worker(fixture):
    """Let a suspect start, so that its worker takes no other task."""
    name = suspect(fixture, fixture.submit("s", SERVICE))
    clear_runs(fixture, *fixture.state.link_by_worker)
    fixture.planner.plan()
    [start] = fixture.planner.take_starts()
    assert start.run.task == name
    return start.link.worker


@on_virtual_time
async def test_workers_are_not_scored_for_each_replica_of_a_service(scorings):
    fixture = PlannerFixture(workers=20)
    fixture.submit("00000000000000a1", SERVICE._replace(task_count=16))
    fixture.submit("00000000000000a2", SERVICE._replace(task_count=16))
    fixture.planner.plan()
    assert len(fixture.planner.take_starts()) == 32
    assert len(scorings) <= 2 * MAX_SCORINGS_PER_SERVICE


@on_virtual_time
async def test_scores_are_shared_while_a_worker_is_held_for_a_suspect(scorings):
    fixture = PlannerFixture(workers=20)
    held = hold_worker(fixture)
    scorings.clear()
    fixture.submit("00000000000000a1", SERVICE._replace(task_count=16))
    fixture.submit("00000000000000a2", SERVICE._replace(task_count=16))
    fixture.planner.plan()
    starts = fixture.planner.take_starts()
    assert len(starts) == 32
    assert held not in {start.link.worker for start in starts}
    assert len(scorings) <= 2 * MAX_SCORINGS_PER_SERVICE


@pytest.mark.parametrize("holds_worker", [False, True])
@pytest.mark.parametrize("seed", range(5))
@on_virtual_time
async def test_shared_scores_choose_the_same_workers_as_new_ones(
    monkeypatch, seed, holds_worker
):
    async def place(shares_scores):
        rng = random.Random(seed)
        fixture = PlannerFixture(workers=8)
        if not shares_scores:
            scores = fixture.planner._scores
            monkeypatch.setattr(scores, "score", scores.score_anew)
        if holds_worker:
            hold_worker(fixture)
        for number in range(6):
            spec = SERVICE._replace(
                task_count=rng.randint(4, 12),
                cpu_millicores=rng.choice([1000, 3000, 6000]),
                image=f"image-{rng.randint(0, 2)}",
                max_per_worker=rng.choice([0, 1, 2]),
            )
            fixture.submit(f"{number:016x}", spec)
        fixture.planner.plan()
        starts = fixture.planner.take_starts()
        return [(start.run.task, start.link.worker) for start in starts]

    placed = await place(shares_scores=True)
    assert placed
    assert placed == await place(shares_scores=False)
