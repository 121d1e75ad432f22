"""A run is moved only if another worker may take its task."""

import asyncio

import pytest

from savorydale.counters import Counters
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run, RunState
from savorydale.placement.advice import PolicyAnswer, StepName
from savorydale.scheduler import run_mover as run_mover_module
from savorydale.scheduler.run_mover import RunMover
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    BACKFILL,
    SERVICE,
    PlannerFixture,
)

BACKFILL_STEP = BACKFILL._replace(
    task_count=2, required_label="special", max_per_worker=1
)
SERVICE_STEP = SERVICE._replace(
    task_count=2, required_label="special", max_per_worker=1
)
SECONDS = 5.0
WORKERS = 30
STUCK_JOBS = 4
STUCK_RUNS = 10  # of each job
FAR_FUTURE = 1000.0


class MoveFixture(PlannerFixture):
    """A worker that a run should leave, and one other that may take its task."""

    def __init__(self, spec):
        super().__init__(workers=0)
        self.stopped = []
        for worker in ("here", "other"):
            self.add_worker(worker, ("special",), SERVICE._replace(latency_target_ms=0))
        self.here = self.state.link_by_worker["here"]
        self.other = self.state.link_by_worker["other"]
        [self.step] = self.submit("00000000000000a1", spec).steps_of(0)
        self.task, self.other_task = self.step.tasks
        self.state.job_tracker.assign(self.step, self.task, "here")
        run = Run(self.task.id, 1, spec, 0.0, RunState.ACTIVE)
        self.here.reserve(run)
        self.here.load.set_speed(run, 0)
        self.here.stop = self.stopped.append
        self.mover = RunMover(self.state, Counters())

    async def moved_tasks(self):
        for _ in range(round(SECONDS / 0.1)):
            for link in self.state.links:
                link.last_contact_at = asyncio.get_running_loop().time()
            self.mover.move_runs()
            await asyncio.sleep(0.1)
        return {run.task for run in self.stopped}


def set_service(fixture):
    fixture.other.info = fixture.other.info._replace(service="another")


def set_quarantine(fixture):
    fixture.add_worker("unlabelled")  # a quarantine of all workers is ignored
    fixture.state.health_of("other").quarantine_ends_at = FAR_FUTURE


def remove_label(fixture):
    fixture.other.info = fixture.other.info._replace(labels=())


def reach_limit(fixture):
    fixture.state.job_tracker.assign(fixture.step, fixture.other_task, "other")


def deny(fixture):
    name = StepName(fixture.step.job.id, 0, 0)
    answer = PolicyAnswer({}, 1.0)
    fixture.state.advice.record_answer(name, ["other"], answer, 0.0)


OBSTACLES = [set_service, set_quarantine, remove_label, reach_limit, deny]


@on_virtual_time
async def test_stuck_backfill_is_moved_to_a_worker_that_may_take_it():
    fixture = MoveFixture(BACKFILL_STEP)
    assert await fixture.moved_tasks() == {fixture.task.id}


@pytest.mark.parametrize("obstacle", OBSTACLES)
@on_virtual_time
async def test_stuck_backfill_is_not_moved_if_no_other_worker_may_take_it(obstacle):
    fixture = MoveFixture(BACKFILL_STEP)
    obstacle(fixture)
    assert await fixture.moved_tasks() == set()


@on_virtual_time
async def test_service_on_a_draining_worker_is_moved_to_a_worker_that_may_take_it():
    fixture = MoveFixture(SERVICE_STEP)
    fixture.here.info = fixture.here.info._replace(is_draining=True)
    assert fixture.task.id in await fixture.moved_tasks()


@on_virtual_time
async def test_service_leaves_a_draining_worker_though_all_others_are_quarantined():
    fixture = MoveFixture(SERVICE_STEP)
    fixture.here.info = fixture.here.info._replace(is_draining=True)
    fixture.state.health_of("other").quarantine_ends_at = FAR_FUTURE
    assert fixture.task.id in await fixture.moved_tasks()


@pytest.mark.parametrize("obstacle", OBSTACLES)
@on_virtual_time
async def test_service_keeps_running_if_no_other_worker_may_take_it(obstacle):
    fixture = MoveFixture(SERVICE_STEP)
    fixture.here.info = fixture.here.info._replace(is_draining=True)
    obstacle(fixture)
    assert fixture.task.id not in await fixture.moved_tasks()


@pytest.mark.parametrize("is_draining", [False, True])
@on_virtual_time
async def test_hosts_are_not_listed_for_each_run_that_waits_for_a_move(
    monkeypatch, is_draining
):
    fixture = PlannerFixture(workers=WORKERS)
    calls = []

    def count(module, name):
        function = getattr(module, name)
        monkeypatch.setattr(
            module,
            name,
            lambda *args, **kw: calls.append(name) or function(*args, **kw),
        )

    spec = BACKFILL._replace(task_count=STUCK_RUNS, required_label="missing")
    for number in range(STUCK_JOBS):
        spec = spec._replace(estimate_ms=1000 + number)
        job = fixture.submit(f"{number:016x}", spec)
        [step] = job.steps_of(0)
        for task in step.tasks:
            fixture.state.job_tracker.assign(step, task, "w0")
            run = Run(task.id, 1, spec, 0.0, RunState.ACTIVE)
            fixture.state.link_by_worker["w0"].reserve(run)
            fixture.state.link_by_worker["w0"].load.set_speed(run, 0)
    link = fixture.state.link_by_worker["w0"]
    link.info = link.info._replace(is_draining=is_draining)
    await asyncio.sleep(SECONDS)
    for each in fixture.state.links:
        each.last_contact_at = asyncio.get_running_loop().time()
    count(run_mover_module, "can_host")
    count(fixture.state.job_tracker, "find_task")
    RunMover(fixture.state, Counters()).move_runs()
    assert 0 < len(calls) <= 2 * WORKERS


@on_virtual_time
async def test_stuck_run_is_not_moved_to_its_own_worker():
    fixture = MoveFixture(BACKFILL_STEP)
    fixture.other.load.capacity = Resources(0, 0, 0)
    assert await fixture.moved_tasks() == set()
