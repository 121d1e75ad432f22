"""Workers that crash at the same moment do not speak against the tasks on them.

Guarded failure: a task that was alone on its worker was taken for the cause, though the
other workers went down at the same moment, and its job was shown as failed for good.
"""

import asyncio
import itertools

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus, decode_step
from savorydale.tests.branch import Branch, open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.service_watch import MAX_AWAY_SECONDS
from standins.task_worker import CRASH, Plan

SERVICE_JOB = "00000000000000a1"
BATCH_JOB = "00000000000000b1"
DOWN_SECONDS = 2.0
AFTER_START_SECONDS = 0.6  # all tasks are still on probation
MAX_TAKEOVER_SECONDS = 4.0  # until another entry schedules, beside the bound
MAX_GANG_SECONDS = 1.5  # after the workers are back, with the time of the verdict
WORKERS = 6
USUAL_MAX_STARTS = 3
MAX_STARTS = 5
DEADLY_SECONDS = 0.01
LATER_SECONDS = 0.2
SERVICE = StepSpec(1, 500, 10, long_running=True)
BATCH = StepSpec(1, 500, 10, estimate_ms=3000)


def endless(task, run):
    return Plan(None if task.startswith(SERVICE_JOB) else 3.0)


def deadly_plan(deadly_jobs, seconds=3.0):
    def plan(task, run):
        if task.partition(".")[0] in deadly_jobs and task.endswith(".0"):
            return Plan(DEADLY_SECONDS, CRASH)
        return Plan(None if task.startswith(SERVICE_JOB) else seconds)

    return plan


async def crash_together(branch: Branch, names, down_seconds=DOWN_SECONDS):
    workers = [branch.worker_by_name[name] for name in names]
    for worker in workers:
        worker.crash(restarts=False)
    await asyncio.sleep(down_seconds)
    for name, worker in zip(names, workers, strict=True):
        worker.is_up = True
        branch.register(name)


def workers_with_tasks_first(branch: Branch):
    busy = sorted(set(branch.checker.worker_by_task.values()))
    return busy + sorted(set(branch.worker_by_name) - set(busy))


async def wait_until_all_run(branch, job, count, timeout_seconds=MAX_AWAY_SECONDS):
    await branch.wait_until(
        lambda: branch.checker.running_task_count(job) == count, timeout_seconds
    )


async def crash_again_and_again(branch, count, times, worker_count=WORKERS):
    """Crash workers whenever all tasks run; all must be back each time."""
    for _ in range(times):
        await asyncio.sleep(AFTER_START_SECONDS)
        names = workers_with_tasks_first(branch)[:worker_count]
        branch.spawn(crash_together(branch, names))
        await asyncio.sleep(0.01)
        await wait_until_all_run(branch, SERVICE_JOB, count)
    await asyncio.sleep(60)
    assert branch.checker.running_task_count(SERVICE_JOB) == count
    assert await branch.status("e0", SERVICE_JOB) is JobStatus.RUNNING


@pytest.mark.parametrize("times", [1, 2, 3, 4, 6])
@pytest.mark.parametrize("count", [1, 4, 6, 8, 12, 24])
@on_virtual_time
async def test_service_is_back_when_all_workers_crashed_together(count, times):
    async with open_branch(endless, workers=WORKERS) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=count))
        await wait_until_all_run(branch, SERVICE_JOB, count)
        await crash_again_and_again(branch, count, times)


@pytest.mark.parametrize(("count", "workers"), [(6, 6), (12, 6), (12, 2), (6, 1)])
@on_virtual_time
async def test_gang_with_suspects_is_back_at_once_beside_free_workers(count, workers):
    gang = SERVICE._replace(task_count=count, gang=True)
    async with open_branch(endless, workers=workers) as branch:
        await branch.submit("e0", SERVICE_JOB, gang)
        await wait_until_all_run(branch, SERVICE_JOB, count)
        for _ in range(3):
            await asyncio.sleep(AFTER_START_SECONDS)
            branch.spawn(crash_together(branch, list(branch.worker_by_name)))
            await asyncio.sleep(0.01)
            await wait_until_all_run(
                branch, SERVICE_JOB, count, DOWN_SECONDS + MAX_GANG_SECONDS
            )


@pytest.mark.parametrize("job_count", [2, 3])
@on_virtual_time
async def test_gangs_with_deadly_members_that_start_together_are_given_up(job_count):
    jobs = [f"{number:016x}" for number in range(0xD0, 0xD0 + job_count)]

    def plan(task, run):
        # The other members end when they miss one of them.
        is_deadly = task.endswith(".0")
        return Plan(DEADLY_SECONDS, CRASH) if is_deadly else Plan(0.3, "broken")

    async with open_branch(plan, workers=WORKERS) as branch:
        gang = BATCH._replace(task_count=3, gang=True)
        await asyncio.gather(*(branch.submit("e0", job, gang) for job in jobs))
        for job in jobs:
            await branch.wait_for_status("e0", job, JobStatus.FAILED, 60)
        assert_few_starts(branch, jobs)


@pytest.mark.parametrize("times", [2, 4])
@pytest.mark.parametrize("worker_count", [2, 3], ids=["rack", "half"])
@pytest.mark.parametrize("count", [1, 4, 6, 12])
@on_virtual_time
async def test_service_is_back_when_some_workers_crashed_together(
    count, worker_count, times
):
    async with open_branch(endless, workers=WORKERS) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=count))
        await wait_until_all_run(branch, SERVICE_JOB, count)
        await crash_again_and_again(branch, count, times, worker_count)


@pytest.mark.parametrize("times", [2, 4])
@pytest.mark.parametrize("count", [1, 6, 24])
@on_virtual_time
async def test_service_is_back_beside_jobs_that_start_all_the_time(count, times):
    async with open_branch(endless, workers=WORKERS) as branch:

        async def submit_jobs():
            for number in range(400):
                step = StepSpec(2, 200, 10, estimate_ms=3000)
                await branch.submit("e0", f"{0xF000 + number:016x}", step)
                await asyncio.sleep(0.1)

        branch.spawn(submit_jobs())
        await asyncio.sleep(2)
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=count))
        await wait_until_all_run(branch, SERVICE_JOB, count)
        await crash_again_and_again(branch, count, times)


@pytest.mark.parametrize("count", [1, 4, 6, 8, 12, 24])
@on_virtual_time
async def test_batch_job_completes_when_all_workers_crashed_together(count):
    async with open_branch(endless, workers=WORKERS) as branch:
        await branch.submit("e0", BATCH_JOB, BATCH._replace(task_count=count))
        for _ in range(3):
            await wait_until_all_run(branch, BATCH_JOB, count)
            await asyncio.sleep(AFTER_START_SECONDS)
            branch.spawn(crash_together(branch, list(branch.worker_by_name)))
            await asyncio.sleep(0.01)
        await branch.wait_for_status(
            "e0", BATCH_JOB, JobStatus.COMPLETED, MAX_AWAY_SECONDS + 3.0
        )


@pytest.mark.parametrize("kill_after_seconds", [0.05, 0.3, 1.0, 3.0])
@pytest.mark.parametrize("count", [1, 6, 24])
@on_virtual_time
async def test_service_is_back_when_the_holder_was_killed_as_well(
    count, kill_after_seconds
):
    async with open_branch(endless, workers=WORKERS, entries=3) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=count))
        for _ in range(3):
            await wait_until_all_run(branch, SERVICE_JOB, count)
            await asyncio.sleep(AFTER_START_SECONDS)
            branch.spawn(crash_together(branch, list(branch.worker_by_name)))
            await asyncio.sleep(kill_after_seconds)
            holder = branch.scheduling_entry()
            await branch.kill_entry(holder)
            branch.start_entry(holder)
            await wait_until_all_run(
                branch, SERVICE_JOB, count, MAX_AWAY_SECONDS + MAX_TAKEOVER_SECONDS
            )
        await asyncio.sleep(60)
        assert branch.checker.running_task_count(SERVICE_JOB) == count


@pytest.mark.parametrize("times", [2, 3])
@on_virtual_time
async def test_service_on_a_worker_that_crashes_beside_others_is_not_given_up(times):
    async with open_branch(endless, workers=WORKERS) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE)
        for _ in range(times):
            await wait_until_all_run(branch, SERVICE_JOB, 1)
            await asyncio.sleep(AFTER_START_SECONDS)
            own, other = workers_with_tasks_first(branch)[:2]
            branch.spawn(crash_together(branch, [own]))
            await asyncio.sleep(1.5)
            branch.spawn(crash_together(branch, [other]))
        await wait_until_all_run(branch, SERVICE_JOB, 1)
        await asyncio.sleep(60)
        assert branch.checker.running_task_count(SERVICE_JOB) == 1


@pytest.mark.parametrize("times", [2, 3])
@on_virtual_time
async def test_service_is_not_given_up_because_of_one_bad_worker(times):
    async with open_branch(endless, workers=1) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE)
        await wait_until_all_run(branch, SERVICE_JOB, 1)
        await crash_again_and_again(branch, 1, times, worker_count=1)


@pytest.mark.parametrize(("count", "workers"), [(6, 1), (12, 1), (12, 2), (24, 2)])
@on_virtual_time
async def test_service_on_few_workers_is_back_when_all_crashed_three_times(
    count, workers
):
    async with open_branch(endless, workers=workers) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=count))
        await wait_until_all_run(branch, SERVICE_JOB, count)
        await crash_again_and_again(branch, count, 3, workers)


# The other side: tasks that do crash their workers.


@pytest.mark.parametrize(("count", "workers"), [(6, 1), (12, 1), (12, 2), (24, 2)])
@on_virtual_time
async def test_replica_that_crashes_its_workers_is_told_from_others(count, workers):
    def suspects():
        rows = decode_step(branch.store.value("steps", f"{SERVICE_JOB}.0.0"))
        return [index for index, row in enumerate(rows) if row.crashes.is_suspect]

    async with open_branch(deadly_plan([SERVICE_JOB]), workers=workers) as branch:
        service = SERVICE._replace(task_count=count)
        branch.checker.add_job(SERVICE_JOB, [service], attempts=2)
        await branch.submit("e0", SERVICE_JOB, service)
        await branch.wait_until(lambda: branch.checker.crashes.total() >= 3, 60)
        await branch.wait_until(lambda: suspects() == [0], 60)
        assert await branch.status("e0", SERVICE_JOB) is JobStatus.RUNNING


async def any_status(branch, job):
    return await branch.status(next(iter(branch.entry_by_name)), job)


def assert_few_starts(branch, jobs, max_starts=MAX_STARTS):
    starts = {job: branch.checker.starts[f"{job}.0.0.0"] for job in jobs}
    assert max(starts.values()) <= max_starts, starts


@pytest.mark.parametrize("task_count", [1, 3], ids=["alone", "beside others"])
@pytest.mark.parametrize("job_count", [2, 3, 6])
@on_virtual_time
async def test_deadly_tasks_that_start_together_are_given_up(job_count, task_count):
    jobs = [f"{number:016x}" for number in range(0xD0, 0xD0 + job_count)]
    async with open_branch(deadly_plan(jobs), workers=WORKERS) as branch:
        step = BATCH._replace(task_count=task_count)
        await asyncio.gather(*(branch.submit("e0", job, step) for job in jobs))
        for job in jobs:
            await branch.wait_for_status("e0", job, JobStatus.FAILED, 60)
        await asyncio.sleep(10)
        assert_few_starts(branch, jobs)


@on_virtual_time
async def test_job_of_which_all_tasks_are_deadly_is_given_up():
    def plan(task, run):
        return Plan(DEADLY_SECONDS, CRASH)

    async with open_branch(plan, workers=WORKERS) as branch:
        await branch.submit("e0", BATCH_JOB, BATCH._replace(task_count=WORKERS))
        await branch.wait_for_status("e0", BATCH_JOB, JobStatus.FAILED, 60)
        await asyncio.sleep(10)
        assert max(branch.checker.starts.values()) <= USUAL_MAX_STARTS


@pytest.mark.parametrize("down_seconds", [0.5, 2.0, 5.0])
@on_virtual_time
async def test_deadly_task_is_given_up_beside_crashes_of_all_workers(down_seconds):
    jobs = ["00000000000000d1", "00000000000000d2"]
    async with open_branch(deadly_plan(jobs), workers=WORKERS) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=6))
        for job in jobs:
            await branch.submit("e0", job, BATCH._replace(task_count=2))
        for _ in range(4):
            await asyncio.sleep(0.4)
            await crash_together(branch, list(branch.worker_by_name), down_seconds)
            await asyncio.sleep(3.0)
        for job in jobs:
            await branch.wait_for_status("e0", job, JobStatus.FAILED, 60)
        await wait_until_all_run(branch, SERVICE_JOB, 6)
        assert_few_starts(branch, jobs)


@pytest.mark.parametrize("kill_after_seconds", [0.1, 0.4, 1.0, 3.0, 6.0])
@on_virtual_time
async def test_deadly_tasks_are_given_up_across_takeovers(kill_after_seconds):
    jobs = [f"{number:016x}" for number in range(0xD0, 0xD4)]
    async with open_branch(deadly_plan(jobs), workers=WORKERS, entries=3) as branch:
        crashes = branch.checker.crashes
        step = BATCH._replace(task_count=2)
        await asyncio.gather(*(branch.submit("e0", job, step) for job in jobs))
        for count in (1, 5):
            await branch.wait_until(lambda count=count: crashes.total() >= count, 30)
            await asyncio.sleep(kill_after_seconds)
            holder = branch.scheduling_entry()
            if holder in branch.entry_by_name:
                await branch.kill_entry(holder)
        await asyncio.sleep(80)
        for job in jobs:
            assert await any_status(branch, job) is JobStatus.FAILED
        assert_few_starts(branch, jobs)


@pytest.mark.parametrize("interval_seconds", [0.3, 1.0])
@on_virtual_time
async def test_many_deadly_tasks_are_given_up_beside_other_jobs(interval_seconds):
    deadly = [f"{number:016x}" for number in range(0xD00, 0xD10)]
    innocent = [f"{number:016x}" for number in range(0xE00, 0xE40)]
    plan = deadly_plan(deadly, seconds=0.5)
    async with open_branch(plan, workers=20) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=20))
        await asyncio.sleep(3)
        step = StepSpec(2, 500, 10, estimate_ms=500)
        for number, job in enumerate(innocent):
            await branch.submit("e0", job, step)
            if number % 4 == 0:
                await branch.submit("e0", deadly[number // 4], step)
            await asyncio.sleep(interval_seconds / 4)
        await asyncio.sleep(60)
        for job in deadly:
            assert await branch.status("e0", job) is JobStatus.FAILED
        for job in innocent:
            assert await branch.status("e0", job) is JobStatus.COMPLETED
        assert branch.checker.running_task_count(SERVICE_JOB) == 20
        assert_few_starts(branch, deadly)


@pytest.mark.parametrize("gap_seconds", [0.7, 1.0])
@on_virtual_time
async def test_deadly_task_is_given_up_beside_an_idle_worker_that_crashes(gap_seconds):
    def plan(task, run):
        return Plan(LATER_SECONDS, CRASH)

    async with open_branch(plan, workers=20) as branch:

        async def crash_idle_workers():
            for number in itertools.count():
                await asyncio.sleep(gap_seconds)
                idle = [
                    name
                    for name, worker in sorted(branch.worker_by_name.items())
                    if worker.is_up and not worker.run_by_task
                ]
                name = idle[number % len(idle)]
                branch.spawn(crash_together(branch, [name]))

        branch.spawn(crash_idle_workers())
        await asyncio.sleep(2)
        await branch.submit("e0", BATCH_JOB, BATCH)
        await branch.wait_for_status("e0", BATCH_JOB, JobStatus.FAILED, 60)
        assert_few_starts(branch, [BATCH_JOB])


@pytest.mark.parametrize(
    ("late_count", "late_seconds"), [(10, 1.2), (10, 2.5), (15, 1.2), (15, 1.5)]
)
@on_virtual_time
async def test_deadly_task_is_given_up_beside_tasks_that_crash_workers_late(
    late_count, late_seconds
):
    def plan(task, run):
        seconds = LATER_SECONDS if task.startswith(BATCH_JOB) else late_seconds
        return Plan(seconds, CRASH)

    async with open_branch(plan, workers=40, asserts_no_violations=False) as branch:
        for number in range(late_count):
            await branch.submit("e0", f"{number:016x}", BATCH)
            await asyncio.sleep(0.3)
        await branch.submit("e0", BATCH_JOB, BATCH)
        await branch.wait_for_status("e0", BATCH_JOB, JobStatus.FAILED, 60)
        assert_few_starts(branch, [BATCH_JOB])
