"""Tests of trials of unknown pairs and of moves of throttled backfill."""

import asyncio
import dataclasses
import itertools

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run, RunState, WorkerLoad
from savorydale.placement.colocation import (
    MAX_TRIALS_PER_PAIR,
    STUCK_SECONDS,
    Colocation,
)
from savorydale.tests.harness import on_virtual_time

SERVICE = StepSpec(1, 4000, 1000, long_running=True, image="feed", latency_target_ms=18)
BACKFILL = StepSpec(1, 2000, 1000, image="report", backfill=True)
JOB_NUMBERS = itertools.count()


@dataclasses.dataclass
class FakeLink:
    """The attributes of a worker link that `Colocation` reads."""

    worker: str
    load: WorkerLoad = dataclasses.field(
        default_factory=lambda: WorkerLoad(Resources(32_000, 128_000, 0))
    )
    run_by_task: dict = dataclasses.field(default_factory=dict)

    def is_in_contact(self, now):
        return True

    def add(self, spec, **fields):
        task = TaskId(f"{next(JOB_NUMBERS):016x}", 0, 0, 0)
        run = Run(task, 1, spec, 0.0, state=RunState.ACTIVE, **fields)
        self.run_by_task[task] = run
        self.load.add(run)
        return run


def link_with_service(worker, spec=SERVICE):
    link = FakeLink(worker)
    link.add(spec)
    return link


def observe_pair(colocation, share=0.2, tail_ms=5.0):
    for _ in range(20):
        colocation.model.observe("feed", {"report": share}, tail_ms)
        colocation.model.observe("feed", {}, 5.0)
    colocation.model.fit()


@on_virtual_time
async def test_few_workers_try_an_unknown_pair_at_once():
    colocation = Colocation()
    links = [link_with_service(f"w{number}") for number in range(6)]
    for link in links:
        if colocation.speed_of(link, BACKFILL) > 0:
            link.add(BACKFILL)
            colocation.record_placement(link, BACKFILL)
    assert sum(len(link.run_by_task) > 1 for link in links) == MAX_TRIALS_PER_PAIR


@on_virtual_time
async def test_a_trial_is_limited_to_one_task_and_expires():
    colocation = Colocation()
    link, *others = [link_with_service(f"w{number}") for number in range(3)]
    link.add(BACKFILL)
    colocation.record_placement(link, BACKFILL)
    assert colocation.speed_of(link, BACKFILL) == 0.0
    colocation.record_placement(others[0], BACKFILL)
    assert colocation.speed_of(others[1], BACKFILL) == 0.0
    await asyncio.sleep(5.0)
    assert colocation.speed_of(others[1], BACKFILL) == 1.0


@on_virtual_time
async def test_known_pairs_and_insensitive_services_need_no_trial():
    colocation = Colocation()
    insensitive = link_with_service("w0", SERVICE._replace(latency_target_ms=0))
    link = link_with_service("w1")
    for other in ("w8", "w9"):
        colocation.record_placement(link_with_service(other), BACKFILL)
    assert colocation.speed_of(link, BACKFILL) == 0.0
    assert colocation.speed_of(insensitive, BACKFILL) == 1.0
    observe_pair(colocation)
    colocation.refresh([link, insensitive], {})
    assert colocation.speed_of(link, BACKFILL) == 1.0


@on_virtual_time
async def test_a_stuck_run_moves_unless_it_would_lose_much_progress():
    colocation = Colocation()
    link, other = link_with_service("w0"), FakeLink("w1")
    fresh = link.add(BACKFILL, requested_percent=0, progress_percent=10.0)
    advanced = link.add(BACKFILL, requested_percent=0, progress_percent=60.0)
    checkpointed = BACKFILL._replace(checkpointing=True)
    resumable = link.add(checkpointed, requested_percent=0, progress_percent=60.0)
    await asyncio.sleep(STUCK_SECONDS + 1)
    now = asyncio.get_running_loop().time()
    moved = {move.run.task for move in colocation.choose_moves([link, other], now)}
    assert moved == {fresh.task, resumable.task}
    assert advanced.task not in moved


@on_virtual_time
async def test_speed_of_backfill_follows_a_changed_capacity_at_once():
    colocation = Colocation()
    link = FakeLink("w0")
    link.add(SERVICE, usage=5.0)
    observe_pair(colocation, tail_ms=14.0)
    link.add(BACKFILL)
    speed = colocation.speed_of(link, BACKFILL)
    link.load.capacity = Resources(8_000, 128_000, 0)
    speed_after_shrinking = colocation.speed_of(link, BACKFILL)
    colocation.refresh([link], {})
    assert speed_after_shrinking == colocation.speed_of(link, BACKFILL)
    assert speed_after_shrinking < speed
