"""A task that crashes each worker that starts it is given up, and nothing else is.

Guarded failure: such a task was started on one worker after the other, and each of them
lost all that ran there.
"""

import asyncio

import pytest

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import (
    JobRow,
    JobStatus,
    StateRow,
    TaskRow,
    decode_step,
    encode_job,
    encode_state,
    encode_step,
)
from savorydale.placement.crashes import CrashCounts
from savorydale.placement.restart_delays import MAX_RESTART_DELAY_SECONDS
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.service_watch import MAX_AWAY_SECONDS
from standins.task_worker import CRASH, Plan

CRASH_SECONDS = 0.01  # after the start
DEADLY_JOB = "00000000000000d1"
INNOCENT_JOB = "00000000000000a1"
SERVICE_JOB = "00000000000000b1"
TASK = StepSpec(1, 500, 100, estimate_ms=500)
SERVICE = StepSpec(6, 500, 100, long_running=True)
USUAL_MAX_CRASHES = 3
# Two crashes among other suspects, two apart from them; five starts are allowed.
MAX_STARTS_AMONG_SUSPECTS = 4
MAX_STARTS_AT_FULL_SPEED = 5  # of a replica; later ones wait for the longest delay


def make_plan(*deadly_tasks, seconds=0.5):
    def plan(task, run):
        if task in deadly_tasks:
            return Plan(CRASH_SECONDS, CRASH)
        return Plan(None if task.startswith(SERVICE_JOB) else seconds)

    return plan


def deadly_task(job=DEADLY_JOB, index=0):
    return f"{job}.0.0.{index}"


async def any_status(branch, job):
    """Return the status that one of the entries that run reports."""
    return await branch.status(next(iter(branch.entry_by_name)), job)


@pytest.mark.parametrize("renames", [False, True])
@on_virtual_time
async def test_deadly_task_is_given_up_and_its_job_failed(renames):
    deadly = deadly_task(index=2)
    async with open_branch(make_plan(deadly)) as branch:
        branch.renames_crashed_workers = renames
        await branch.submit("e0", DEADLY_JOB, TASK._replace(task_count=5))
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 30)
        await asyncio.sleep(10)
        assert branch.checker.crashes[deadly] <= USUAL_MAX_CRASHES
        assert branch.checker.starts[deadly] <= USUAL_MAX_CRASHES


@pytest.mark.parametrize("seconds", [0.9, 2.5])
@on_virtual_time
async def test_task_that_crashes_its_worker_late_is_given_up(seconds):
    def plan(task, run):
        return Plan(seconds, CRASH) if task == deadly_task() else Plan(0.5)

    async with open_branch(plan, workers=4) as branch:
        await branch.submit("e0", DEADLY_JOB, TASK)
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 60)


@on_virtual_time
async def test_deadly_replica_is_restarted_with_delays_beside_the_others():
    deadly, innocent = f"{SERVICE_JOB}.0.0.0", f"{SERVICE_JOB}.0.0.1"
    async with open_branch(make_plan(deadly)) as branch:
        starts = branch.checker.starts
        service = SERVICE._replace(task_count=2)
        branch.checker.add_job(SERVICE_JOB, [service], attempts=2)
        await branch.submit("e0", SERVICE_JOB, service)
        for number in range(3, MAX_STARTS_AT_FULL_SPEED + 6):
            await branch.wait_until(
                lambda number=number: starts[deadly] == number, MAX_AWAY_SECONDS * 3
            )
            if number <= MAX_STARTS_AT_FULL_SPEED:
                continue
            await asyncio.sleep(MAX_RESTART_DELAY_SECONDS - 0.1)
            assert starts[deadly] == number
        assert await branch.status("e0", SERVICE_JOB) is JobStatus.RUNNING
        await branch.wait_until(
            lambda: innocent in branch.checker.worker_by_task, MAX_AWAY_SECONDS
        )


@pytest.mark.parametrize("times", [2, 6])
@on_virtual_time
async def test_service_is_kept_when_the_worker_of_one_replica_crashes_repeatedly(times):
    replica = f"{SERVICE_JOB}.0.0.0"
    async with open_branch(make_plan(), workers=24) as branch:
        running = branch.checker.worker_by_task
        service = SERVICE._replace(max_per_worker=1)
        await branch.submit("e0", SERVICE_JOB, service)
        for _ in range(times):
            await branch.wait_until(lambda: replica in running, MAX_AWAY_SECONDS)
            await asyncio.sleep(0.3)
            branch.spawn(crash_and_bring_back(branch, running[replica], 4.5))
            await asyncio.sleep(0.1)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(SERVICE_JOB) == 6,
            MAX_AWAY_SECONDS,
        )
        await asyncio.sleep(20)
        assert await branch.status("e0", SERVICE_JOB) is JobStatus.RUNNING
        assert branch.checker.starts.total() == SERVICE.task_count + times


async def crash_and_bring_back(branch, name, down_seconds):
    worker = branch.worker_by_name[name]
    worker.crash(restarts=False)
    await asyncio.sleep(down_seconds)
    worker.is_up = True
    branch.register(name)


@on_virtual_time
async def test_deadly_member_of_a_gang_is_given_up():
    def plan(task, run):
        # The other members end when they miss one of them.
        is_deadly = task == deadly_task(index=1)
        return Plan(CRASH_SECONDS, CRASH) if is_deadly else Plan(0.3, "broken")

    async with open_branch(plan, workers=4) as branch:
        gang = StepSpec(3, 3000, 100, estimate_ms=500, gang=True)
        await branch.submit("e0", DEADLY_JOB, gang)
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 60)
        assert branch.checker.crashes.total() <= USUAL_MAX_CRASHES + 1


@pytest.mark.parametrize("seconds", [0.3, 0.6, 1.5, 4.0])
@on_virtual_time
async def test_crashes_are_counted_across_takeovers(seconds):
    # The holder is killed this long after each of the first two crashes.
    deadly = deadly_task()
    async with open_branch(make_plan(deadly), entries=3) as branch:
        crashes = branch.checker.crashes
        await branch.submit("e0", DEADLY_JOB, TASK)
        for count in (1, 2):
            await branch.wait_until(lambda count=count: crashes[deadly] >= count, 30)
            await asyncio.sleep(seconds)
            holder = branch.scheduling_entry()
            if holder in branch.entry_by_name:
                await branch.kill_entry(holder)
        await asyncio.sleep(60)
        assert await any_status(branch, DEADLY_JOB) is JobStatus.FAILED
        assert branch.checker.starts[deadly] <= USUAL_MAX_CRASHES


@on_virtual_time
async def test_crash_just_before_the_holder_is_killed_costs_one_more_at_most():
    deadly = deadly_task()
    async with open_branch(make_plan(deadly), entries=2) as branch:
        crashes = branch.checker.crashes
        await branch.submit("e0", DEADLY_JOB, TASK)
        await branch.wait_until(lambda: crashes[deadly] == 1, 5)
        await branch.kill_entry(branch.scheduling_entry())
        await asyncio.sleep(60)
        assert await any_status(branch, DEADLY_JOB) is JobStatus.FAILED
        assert branch.checker.starts[deadly] <= USUAL_MAX_CRASHES


@pytest.mark.parametrize(
    ("counted_run", "is_given_up"), [(1, True), (2, False)], ids=["unseen", "counted"]
)
@on_virtual_time
async def test_new_holder_counts_the_crash_of_an_isolated_run_once(
    counted_run, is_given_up
):
    async with open_branch(make_plan(), entries=1) as branch:
        await branch.kill_entry("e0")
        queue = QueueSettings("q1", "desk.example", "/q1/", "desk", max_attempts=2)
        row = encode_job(JobRow(JobSpec("x", (TASK,)), queue, 0))
        task = TaskRow(False, 2, 0, "w0", "", CrashCounts(1, 1, counted_run))
        state = encode_state(StateRow("q1", JobStatus.RUNNING))
        branch.store.put("states", DEADLY_JOB, state)
        branch.store.put("steps", f"{DEADLY_JOB}.0.0", encode_step([task]))
        branch.store.put("jobs", DEADLY_JOB, row)
        branch.worker_by_name["w0"].crash(restarts=False)
        branch.start_entry("e0")
        status = JobStatus.FAILED if is_given_up else JobStatus.COMPLETED
        await branch.wait_for_status("e0", DEADLY_JOB, status, 20)


async def take_over_with_two_attributed_crashes(branch, spec):
    """Let ``e0`` start with the rows of a job as an earlier holder has left them."""
    await branch.kill_entry("e0")
    queue = QueueSettings("q1", "desk.example", "/q1/", "desk", max_attempts=2)
    row = encode_job(JobRow(JobSpec("x", (spec,)), queue, 0))
    task = TaskRow(False, 2, 0, "", "", CrashCounts(2, 2, 2))
    state = encode_state(StateRow("q1", JobStatus.RUNNING))
    branch.store.put("states", DEADLY_JOB, state)
    branch.store.put("steps", f"{DEADLY_JOB}.0.0", encode_step([task]))
    branch.store.put("jobs", DEADLY_JOB, row)
    branch.start_entry("e0")


@on_virtual_time
async def test_new_holder_fails_a_job_whose_task_was_given_up():
    async with open_branch(entries=1) as branch:
        await take_over_with_two_attributed_crashes(branch, TASK)
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 8)
        assert not branch.checker.starts


@on_virtual_time
async def test_new_holder_restarts_a_service_that_earlier_releases_gave_up():
    service = TASK._replace(long_running=True)
    plan = make_plan(seconds=None)
    async with open_branch(plan, entries=1) as branch:
        await take_over_with_two_attributed_crashes(branch, service)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(DEADLY_JOB) == 1, 8
        )
        await asyncio.sleep(5)
        assert await branch.status("e0", DEADLY_JOB) is JobStatus.RUNNING
        assert branch.checker.starts.total() == 1


@on_virtual_time
async def test_counts_of_a_cleared_task_are_deleted():
    key = f"{SERVICE_JOB}.0.0"
    async with open_branch(make_plan()) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE._replace(task_count=1))
        await branch.wait_until(lambda: branch.checker.starts.total() == 1, 5)
        await asyncio.sleep(0.1)
        worker = next(w for w in branch.worker_by_name.values() if w.run_by_task)
        worker.crash(restarts=False)
        await asyncio.sleep(1.0)  # the crashes of other workers may come later
        [stored] = decode_step(branch.store.value("steps", key))
        assert stored.crashes == CrashCounts(1, 1, 1)
        worker.is_up = True
        await asyncio.sleep(5)
        [stored] = decode_step(branch.store.value("steps", key))
        assert stored.crashes == CrashCounts()
        assert branch.checker.running_task_count(SERVICE_JOB) == 1


@pytest.mark.parametrize("workers", [2, 3, 5])
@on_virtual_time
async def test_other_jobs_complete_beside_several_deadly_tasks(workers):
    deadly_jobs = [f"{number:016x}" for number in range(0xD1, 0xD5)]
    plan = make_plan(*map(deadly_task, deadly_jobs))
    async with open_branch(plan, workers=workers) as branch:
        innocent_jobs = [f"{number:016x}" for number in range(0xA00, 0xA3C)]
        for number, job in enumerate(innocent_jobs):
            await branch.submit("e0", job, TASK._replace(task_count=2))
            if number % 5 == 0 and deadly_jobs[number // 5 :]:
                await branch.submit("e0", deadly_jobs[number // 5], TASK)
            await asyncio.sleep(0.4)
        await asyncio.sleep(30)
        for job in innocent_jobs:
            assert await branch.status("e0", job) is JobStatus.COMPLETED
        for job in deadly_jobs:
            assert await branch.status("e0", job) is JobStatus.FAILED
            assert branch.checker.starts[deadly_task(job)] <= MAX_STARTS_AMONG_SUSPECTS


@on_virtual_time
async def test_task_that_ran_beside_a_deadly_one_is_not_given_up():
    async with open_branch(make_plan(deadly_task(), seconds=4.0), workers=2) as branch:
        for number in range(8):
            await branch.submit("e0", f"{number:016x}", TASK._replace(task_count=2))
        await branch.submit("e0", DEADLY_JOB, TASK)
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 60)
        for number in range(8):
            await branch.wait_for_status(
                "e0", f"{number:016x}", JobStatus.COMPLETED, 60
            )
        assert branch.checker.starts[deadly_task()] <= USUAL_MAX_CRASHES


@on_virtual_time
async def test_services_on_a_crashed_worker_are_restarted():
    async with open_branch(make_plan(deadly_task())) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE)
        await asyncio.sleep(5)
        await branch.submit("e0", DEADLY_JOB, TASK)
        await branch.wait_for_status("e0", DEADLY_JOB, JobStatus.FAILED, 30)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(SERVICE_JOB) == 6, 15
        )
        assert await branch.status("e0", SERVICE_JOB) is JobStatus.RUNNING


def set_partitioned(branch, worker, is_partitioned):
    for entry in branch.entry_by_name:
        branch.faults_between(entry, f"{worker}:80").is_partitioned = is_partitioned


async def partition(branch, worker):
    set_partitioned(branch, worker, True)
    await asyncio.sleep(15)
    set_partitioned(branch, worker, False)


async def power_off(branch, worker):
    """Lose the worker without a word: its packets are dropped until it is back."""
    set_partitioned(branch, worker, True)
    branch.worker_by_name[worker].crash(restarts=False)
    await asyncio.sleep(15)
    branch.worker_by_name[worker].is_up = True
    set_partitioned(branch, worker, False)


async def drain_and_leave(branch, worker):
    branch.register(worker, state="draining")
    await asyncio.sleep(0.2)
    branch.worker_by_name[worker].crash(restarts=False)
    await asyncio.sleep(1)
    branch.store.delete("servers", worker)
    await asyncio.sleep(5)
    branch.worker_by_name[worker].is_up = True
    branch.register(worker)


@pytest.mark.parametrize("lose", [partition, power_off, drain_and_leave])
@on_virtual_time
async def test_task_on_workers_that_are_lost_right_after_its_start_is_not_given_up(
    lose,
):
    task = f"{INNOCENT_JOB}.0.0.0"
    async with open_branch(make_plan(seconds=3.0), workers=4, attempts=1) as branch:
        await branch.submit("e0", INNOCENT_JOB, TASK)
        for count in (1, 2):
            await branch.wait_until(
                lambda count=count: branch.checker.starts[task] == count, 30
            )
            worker = next(
                name
                for name, worker in branch.worker_by_name.items()
                if task in worker.run_by_task
            )
            await asyncio.sleep(0.1)
            branch.spawn(lose(branch, worker))
        await branch.wait_for_status("e0", INNOCENT_JOB, JobStatus.COMPLETED, 60)
        assert branch.checker.starts[task] == 3
