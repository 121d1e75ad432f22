"""Tasks whose workers the policy service must allow do not wait for ever."""

import asyncio
import collections

import pytest

from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.placement.advice import PolicyAnswer, StepName
from savorydale.platform.advice import PlatformPolicyService
from savorydale.platform.http import HttpReply
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import QUEUE, SERVICE, PlannerFixture

ANSWER_SECONDS = 0.3
STEP = StepSpec(1, 2000, 1000, estimate_ms=500)


class PolicyFake:
    """Allows all workers after `ANSWER_SECONDS`; the first queries may fail."""

    def __init__(self, valid_seconds=3.0, errors=0):
        self.valid_seconds = valid_seconds
        self.errors = errors

    async def query(self, step, workers):
        await asyncio.sleep(ANSWER_SECONDS)
        if self.errors > 0:
            self.errors -= 1
            raise RuntimeError("an error that the policy's client does not expect")
        return PolicyAnswer(dict.fromkeys(workers, "t"), self.valid_seconds)


class AdviceFixture(PlannerFixture):
    """A planner whose queue needs advice."""

    def __init__(self, workers, policy):
        super().__init__(workers)
        self.planner._policy = policy

    def submit(self, job, spec, priority=2):
        now = asyncio.get_running_loop().time()
        queue = QUEUE._replace(needs_advice=True, priority=priority)
        row = JobRow(JobSpec("", (spec,)), queue, 0)
        return self.state.job_tracker.add(job, row, JobStatus.QUEUED, now)


@on_virtual_time
async def test_step_is_queried_again_after_an_unexpected_error():
    fixture = AdviceFixture(3, PolicyFake(errors=1))
    fixture.submit("00000000000000a1", STEP)
    assert await fixture.plan(seconds=3)


class OddRowHttp:
    """Answers the first request with odd rows, and allows all workers after that."""

    def __init__(self, odd_rows):
        self.odd_rows = odd_rows

    async def send(self, method, url, timeout_seconds, body):
        rows = self.odd_rows or [[worker, "t"] for worker in body["workers"]]
        self.odd_rows = None
        return HttpReply(200, {"allowed": rows, "validMs": 900})


@pytest.mark.parametrize("odd_rows", [[5, ["w2"], None], [["w1", "t", "t"]], [[]]])
@on_virtual_time
async def test_one_odd_row_of_an_answer_does_not_deny_its_workers_for_good(odd_rows):
    policy = PlatformPolicyService(OddRowHttp(odd_rows), "10.0.0.8:80")
    fixture = AdviceFixture(3, policy)
    fixture.submit("00000000000000a1", STEP)
    assert await fixture.plan(seconds=3)


@on_virtual_time
async def test_tickets_that_are_valid_only_shortly_are_used():
    fixture = AdviceFixture(3, PolicyFake(valid_seconds=0.4))
    fixture.submit("00000000000000a1", STEP)
    assert await fixture.plan(seconds=3)


@on_virtual_time
async def test_steps_that_no_worker_can_take_do_not_use_up_the_queries():
    fixture = AdviceFixture(200, PolicyFake(valid_seconds=1.0))
    blocked = STEP._replace(required_label="missing")
    for number in range(4):
        fixture.submit(f"{number:016x}", blocked, priority=0)
    fixture.submit("00000000000000a1", STEP)
    assert await fixture.plan(seconds=5)


class CountingPolicy(PolicyFake):
    """Also counts the queries of each job."""

    def __init__(self, valid_seconds):
        super().__init__(valid_seconds)
        self.count_by_job = collections.Counter()

    async def query(self, step, workers):
        self.count_by_job[step.job] += 1
        return await super().query(step, workers)


@pytest.mark.parametrize(("workers", "gangs"), [(100, 4), (100, 8), (100, 20)])
@on_virtual_time
async def test_steps_that_query_all_the_time_do_not_use_up_the_queries(workers, gangs):
    policy = CountingPolicy(valid_seconds=0.9)
    fixture = AdviceFixture(workers, policy)
    gang = STEP._replace(task_count=workers + 1, gang=True, max_per_worker=1)
    for number in range(gangs):
        fixture.submit(f"{number:016x}", gang, priority=1)
    await fixture.plan(seconds=3)
    fixture.submit("00000000000000f1", SERVICE, priority=3)
    starts = await fixture.plan(seconds=2)
    assert {start.run.task.job for start in starts} == {"00000000000000f1"}
    assert policy.count_by_job["00000000000000f1"] >= 1


@on_virtual_time
async def test_late_answer_about_an_ended_job_is_not_kept():
    fixture = AdviceFixture(3, PolicyFake())
    job = fixture.submit("00000000000000a1", STEP)
    fixture.planner.plan()
    advice, name = fixture.state.advice, StepName(job.id, 0, 0)
    assert advice.awaits_answer(name)
    advice.remove_job(job.id)
    await asyncio.sleep(2 * ANSWER_SECONDS)
    now = asyncio.get_running_loop().time()
    assert not any(advice.ticket(name, f"w{number}", now) for number in range(3))
